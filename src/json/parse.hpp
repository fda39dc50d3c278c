/// Parsers whose documents are safe to copy, compare and write.
#ifndef VANILLAGAUGE_JSON_PARSE_HPP
#define VANILLAGAUGE_JSON_PARSE_HPP

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace vanillagauge {

/// Levels of nested arrays and objects that a document may have.
inline constexpr std::size_t max_json_depth = 64;

/// Bytes that a document of any text may take.
inline constexpr std::size_t min_json_memory = 1U << 20U;
/// Bytes that a larger document may take for each byte of its text. Objects of a few short members take 13,
/// arrays of empty objects 26.
inline constexpr std::size_t json_memory_per_byte = 16;

/// Bytes that the document of a text of this length may take.
inline constexpr std::size_t max_json_memory(std::size_t text_bytes)
{
    return std::max(min_json_memory, text_bytes * json_memory_per_byte);
}

/// A member that the reader of a document wants.
struct json_member {
    std::string name;
    std::vector<json_member> wanted{}; ///< of the members of its value, or of its elements; none: all
};

/// The document; `is_discarded()` if the text is not JSON, nests deeper, has a number beyond a double's range
/// or takes more than `max_json_memory`. Of an object, only the wanted members are built; none: all.
nlohmann::json parse_json(std::string_view text, std::size_t max_depth = max_json_depth,
                          const std::vector<json_member>& wanted = {});

/// A document of another process of this project, which holds it already: `parse_json` without its bound on
/// memory, which depends on white space and on what else stands in a message.
nlohmann::json parse_peer_json(std::string_view text);

/// A document of which unusable parts were replaced by null.
struct repaired_json {
    nlohmann::json document;
    std::size_t replaced = 0;             ///< number of parts
    std::vector<std::string> replaced_at; ///< JSON pointers (RFC 6901) of the first parts
};

/// Like `parse_json`, but a part that nests too deep, a number out of range, a string or literal that is not
/// valid and a part that takes too much memory for its text cost only themselves. The document is discarded
/// if the structure around them is malformed.
repaired_json parse_repaired_json(std::string_view text, std::size_t max_depth = max_json_depth);

} // namespace vanillagauge

#endif
