/// Parsers whose documents are safe to copy, compare and write.
#ifndef VANILLAGAUGE_JSON_PARSE_HPP
#define VANILLAGAUGE_JSON_PARSE_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace vanillagauge {

/// Levels of nested arrays and objects that a document may have.
inline constexpr std::size_t max_json_depth = 64;

/// The document; `is_discarded()` if the text is not JSON, nests deeper, or has a number beyond a double's
/// range.
nlohmann::json parse_json(std::string_view text, std::size_t max_depth = max_json_depth);

/// A document of which unusable parts were replaced by null.
struct repaired_json {
    nlohmann::json document;
    std::size_t replaced = 0;             ///< number of parts
    std::vector<std::string> replaced_at; ///< JSON pointers (RFC 6901) of the first parts
};

/// Like `parse_json`, but a part that nests too deep, a number out of range and a string or literal that is
/// not valid cost only themselves. The document is discarded if the structure around them is malformed.
repaired_json parse_repaired_json(std::string_view text, std::size_t max_depth = max_json_depth);

} // namespace vanillagauge

#endif
