// Parser of JSON texts from other processes.
#ifndef JAYPICK_NODE_BOUNDED_JSON_H_
#define JAYPICK_NODE_BOUNDED_JSON_H_

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace jaypick::node {

// Much deeper than any message. Copies, comparisons and dumps of a value
// recurse once per level.
inline constexpr std::size_t kMaxJsonDepth = 64;

// Returns a discarded value (`is_discarded()`) if `text` is not valid JSON, has
// a number beyond the range of a double, or is nested deeper than
// `kMaxJsonDepth`. Texts that are nested too deeply are not parsed: each level
// would take some 60 bytes.
nlohmann::json ParseBounded(std::string_view text);

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_BOUNDED_JSON_H_
