/// JSON text checked against a JSON schema, by valijson.
#ifndef VANILLAGAUGE_CONFIG_INTERNAL_SCHEMA_CHECK_HPP
#define VANILLAGAUGE_CONFIG_INTERNAL_SCHEMA_CHECK_HPP

#include "base/result.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace vanillagauge::config::internal {

/// The parsed text; otherwise `invalid_argument` naming `origin`, the path in it, and what the schema
/// expected.
result<nlohmann::json> parse_checked(const std::string& text, const char* schema, const std::string& origin);

} // namespace vanillagauge::config::internal

#endif
