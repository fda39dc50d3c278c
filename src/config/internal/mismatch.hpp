/// Says in words what a JSON schema expects at a place, and what stands there instead.
#ifndef VANILLAGAUGE_CONFIG_INTERNAL_MISMATCH_HPP
#define VANILLAGAUGE_CONFIG_INTERNAL_MISMATCH_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace vanillagauge::config::internal {

/// The part of the schema for the document's place, through properties, items, references and alternatives;
/// null where the schema has none.
nlohmann::json schema_at(const nlohmann::json& schema, const nlohmann::json::json_pointer& path);

/// `expected an integer from 2 to 64, found "8"`. `rules` is the schema's part for the value and `schema` the
/// whole, for its references.
std::string describe_mismatch(const nlohmann::json& schema, const nlohmann::json& rules,
                              const nlohmann::json& found);

} // namespace vanillagauge::config::internal

#endif
