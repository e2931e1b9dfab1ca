// Invariants that are checked in release builds.
#ifndef JAYPICK_INTERNAL_INVARIANT_H_
#define JAYPICK_INTERNAL_INVARIANT_H_

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <string_view>

namespace jaypick::internal {

// Called with the name of a violated invariant and details for the log.
using ViolationHandler =
    std::function<void(std::string_view invariant, std::string_view detail)>;

// Handler of the innermost active `ViolationScope` of this thread, or null.
inline thread_local const ViolationHandler* violation_handler = nullptr;

// Passes violations on this thread to `handler` for the lifetime of the scope.
// Scopes may be nested.
//
// Example:
//   const ViolationScope scope(handler_that_calls_the_observer_);
class ViolationScope {
 public:
  explicit ViolationScope(const ViolationHandler& handler)
      : previous_(violation_handler) {
    violation_handler = &handler;
  }
  ~ViolationScope() { violation_handler = previous_; }
  ViolationScope(const ViolationScope&) = delete;
  ViolationScope& operator=(const ViolationScope&) = delete;

 private:
  const ViolationHandler* previous_;
};

// Reports a violation of `invariant` to the current handler. Without a handler,
// prints it to stderr and aborts the process.
inline void ReportViolation(std::string_view invariant,
                            std::string_view detail) {
  if (violation_handler != nullptr && *violation_handler) {
    (*violation_handler)(invariant, detail);
    return;
  }
  const std::string line =
      std::string(invariant) + ": " + std::string(detail) + "\n";
  std::fputs(line.c_str(), stderr);
  std::abort();
}

// Reports `invariant` if `condition` is false.
inline void CheckInvariant(bool condition,
                           std::string_view invariant,
                           std::string_view detail) {
  if (!condition) [[unlikely]] {
    ReportViolation(invariant, detail);
  }
}

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_INVARIANT_H_
