/// Validates JSON text against a JSON schema, with valijson.
#ifndef VANILLAGAUGE_CONFIG_INTERNAL_SCHEMA_CHECK_HPP
#define VANILLAGAUGE_CONFIG_INTERNAL_SCHEMA_CHECK_HPP

#include "base/result.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace vanillagauge::config::internal {

/// Parses and validates the text. `invalid_argument` names `origin`, the JSON path, and what the schema
/// expects.
result<nlohmann::json> parse_checked(const std::string& text, const char* schema, const std::string& origin);

} // namespace vanillagauge::config::internal

#endif
