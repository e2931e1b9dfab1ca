// Input iterator that exposes how far a JSON parser has read.
#ifndef JAYPICK_SETTINGS_COUNTING_ITERATOR_H_
#define JAYPICK_SETTINGS_COUNTING_ITERATOR_H_

#include <cstddef>
#include <iterator>

namespace jaypick {

// Iterates over text and writes its position to an external cursor, because the
// parser works on a copy of the iterator.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* position, const char** cursor)
      : position_(position), cursor_(cursor) {}

  reference operator*() const { return *position_; }

  CountingIterator& operator++() {
    ++position_;
    *cursor_ = position_;
    return *this;
  }

  CountingIterator operator++(int) {
    CountingIterator before = *this;
    ++*this;
    return before;
  }

  friend bool operator==(const CountingIterator& left,
                         const CountingIterator& right) {
    return left.position_ == right.position_;
  }

 private:
  const char* position_;
  const char** cursor_;
};

}  // namespace jaypick

#endif  // JAYPICK_SETTINGS_COUNTING_ITERATOR_H_
