/// Describes the value that a JSON schema expects at a path, and the value found there.
#ifndef VANILLAGAUGE_CONFIG_INTERNAL_MISMATCH_HPP
#define VANILLAGAUGE_CONFIG_INTERNAL_MISMATCH_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace vanillagauge::config::internal {

/// The subschema for a path in the document, through properties, items, references and alternatives; null if
/// the schema has none.
nlohmann::json schema_at(const nlohmann::json& schema, const nlohmann::json::json_pointer& path);

/// Returns text such as `expected an integer from 2 to 64, found "8"`. `rules` is the subschema for the
/// value; `schema` is the complete schema, for resolving references.
std::string describe_mismatch(const nlohmann::json& schema, const nlohmann::json& rules,
                              const nlohmann::json& found);

} // namespace vanillagauge::config::internal

#endif
