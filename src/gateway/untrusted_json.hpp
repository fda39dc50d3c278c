/// Reading JSON that another program wrote, which may be of any shape.
#ifndef VANILLAGAUGE_GATEWAY_UNTRUSTED_JSON_HPP
#define VANILLAGAUGE_GATEWAY_UNTRUSTED_JSON_HPP

#include "base/base.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace vanillagauge::gateway {

/// What `read` makes of the text; where it throws json::exception, `otherwise` with the exception's words.
///
/// An exception that leaves a task ends the program, and with it all requests under way.
template <class Value, class Read>
result<Value> decode(const nlohmann::json& document, error malformed, Read read)
{
    try {
        return read(document);
    }
    catch (const nlohmann::json::exception& why) {
        malformed.detail += std::string(": ") + why.what();
        return malformed;
    }
}

/// The member's text; empty where there is none, or where it is no text.
inline std::string string_or_empty(const nlohmann::json& object, const char* member)
{
    const auto found = object.is_object() ? object.find(member) : object.end();
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

/// The member's whole number; the fallback where there is none, or where it is no such number.
inline std::int64_t integer_or(const nlohmann::json& object, const char* member, std::int64_t fallback)
{
    const auto found = object.is_object() ? object.find(member) : object.end();
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>() : fallback;
}

/// The member; where there is none, null, which has no elements.
inline const nlohmann::json& member_or_null(const nlohmann::json& object, const char* member)
{
    static const nlohmann::json none;
    const auto found = object.is_object() ? object.find(member) : object.end();
    return found == object.end() ? none : *found;
}

} // namespace vanillagauge::gateway

#endif
