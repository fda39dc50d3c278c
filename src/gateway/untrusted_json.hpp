/// Reading of JSON from other programs, which may be malformed.
#ifndef VANILLAGAUGE_GATEWAY_UNTRUSTED_JSON_HPP
#define VANILLAGAUGE_GATEWAY_UNTRUSTED_JSON_HPP

#include "base/base.hpp"
#include "json/json.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace vanillagauge::gateway {

/// The error for a message of a peer that cannot be decoded; `invalid_argument`.
inline error malformed(std::string what)
{
    return {error_code::invalid_argument, run_state::not_run, std::move(what)};
}

/// Returns `read(document)`, or `malformed` with the message appended if it throws json::exception.
///
/// An exception that escapes a task ends the program and all requests in flight.
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

/// The document as text; `invalid_argument` if a string in it is not UTF-8.
inline result<std::string> encode(const nlohmann::json& document)
{
    return decode<std::string>(document, malformed("cannot encode a message"),
                               [](const nlohmann::json& from) -> result<std::string> { return from.dump(); });
}

/// The document as text; bytes of a string that are not UTF-8 are replaced.
inline std::string encode_any(const nlohmann::json& document)
{
    constexpr int one_line = -1;
    return document.dump(one_line, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// The string member; empty if absent or not a string.
inline std::string string_or_empty(const nlohmann::json& object, const char* member)
{
    const auto found = object.is_object() ? object.find(member) : object.end();
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

/// The integer member; the fallback if absent, not an integer or of more than 64 bits.
inline std::int64_t integer_or(const nlohmann::json& object, const char* member, std::int64_t fallback)
{
    const auto found = object.is_object() ? object.find(member) : object.end();
    const bool is_integer = found != object.end() && found->is_number_integer();
    return is_integer ? checked_integer<std::int64_t>(*found).value_or(fallback) : fallback;
}

/// The member; throws json::exception unless it is an integer that is not negative.
inline std::uint64_t unsigned_at(const nlohmann::json& object, const char* member)
{
    const auto& found = object.at(member);
    if (!found.is_number_integer() || found < 0) {
        const auto what = std::string(member) + ": expected an integer that is not negative";
        throw nlohmann::json::type_error::create(302, what, &found);
    }
    return found.get<std::uint64_t>();
}

/// The member, or null, which has no elements, if absent.
inline const nlohmann::json& member_or_null(const nlohmann::json& object, const char* member)
{
    static const nlohmann::json none;
    const auto found = object.is_object() ? object.find(member) : object.end();
    return found == object.end() ? none : *found;
}

} // namespace vanillagauge::gateway

#endif
