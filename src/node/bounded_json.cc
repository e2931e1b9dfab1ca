#include "node/bounded_json.h"

namespace jaypick::node {
namespace {

// Returns true if the brackets of `text` outside of strings, closed or not, are
// nested deeper than `kMaxJsonDepth`.
bool IsTooDeep(std::string_view text) {
  std::size_t depth = 0;
  bool is_in_string = false;
  for (std::size_t position = 0; position < text.size(); ++position) {
    switch (text[position]) {
      case '"':
        is_in_string = !is_in_string;
        break;
      case '\\':
        // The next character does not end a string.
        ++position;
        break;
      case '[':
      case '{':
        if (!is_in_string && ++depth > kMaxJsonDepth) {
          return true;
        }
        break;
      case ']':
      case '}':
        if (!is_in_string && depth > 0) {
          --depth;
        }
        break;
      default:
        break;
    }
  }
  return false;
}

}  // namespace

nlohmann::json ParseBounded(std::string_view text) {
  if (IsTooDeep(text)) {
    return nlohmann::json::value_t::discarded;
  }
  return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
}

}  // namespace jaypick::node
