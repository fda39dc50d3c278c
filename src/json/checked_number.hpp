/// Numbers in JSON documents of other programs.
///
/// `get` wraps an integer that does not fit, and its conversion of a double that does not fit is undefined:
/// the result differs between processors.
#ifndef VANILLAGAUGE_JSON_CHECKED_NUMBER_HPP
#define VANILLAGAUGE_JSON_CHECKED_NUMBER_HPP

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace vanillagauge {

/// The number without its fraction; none if it is not finite or does not fit.
template <std::integral Integer>
std::optional<Integer> checked_integer(double number)
{
    using limits = std::numeric_limits<Integer>;
    const double whole = std::trunc(number);
    const bool fits = whole >= static_cast<double>(limits::min()) && whole < std::ldexp(1.0, limits::digits);
    return fits ? std::optional{static_cast<Integer>(whole)} : std::nullopt;
}

/// The number without its fraction; none if the document is not a number or does not fit.
template <std::integral Integer>
std::optional<Integer> checked_integer(const nlohmann::json& document)
{
    if (const auto* number = document.get_ptr<const nlohmann::json::number_unsigned_t*>()) {
        return std::in_range<Integer>(*number) ? std::optional{static_cast<Integer>(*number)} : std::nullopt;
    }
    if (const auto* number = document.get_ptr<const nlohmann::json::number_integer_t*>()) {
        return std::in_range<Integer>(*number) ? std::optional{static_cast<Integer>(*number)} : std::nullopt;
    }
    const auto* number = document.get_ptr<const nlohmann::json::number_float_t*>();
    return number != nullptr ? checked_integer<Integer>(*number) : std::nullopt;
}

/// Throws json::exception if the document is not a number or does not fit.
template <std::integral Integer>
Integer to_integer(const nlohmann::json& document)
{
    const auto number = checked_integer<Integer>(document);
    if (!number) {
        throw nlohmann::json::type_error::create(302, "expected an integer in range", &document);
    }
    return *number;
}

/// Throws json::exception if the member is absent, is not a number or does not fit.
template <std::integral Integer>
Integer integer_at(const nlohmann::json& object, const char* member)
{
    return to_integer<Integer>(object.at(member));
}

/// The fallback if the member is absent; throws json::exception if it is not a number or does not fit.
template <std::integral Integer>
Integer integer_at_or(const nlohmann::json& object, const char* member, Integer fallback)
{
    return object.contains(member) ? integer_at<Integer>(object, member) : fallback;
}

/// The member's integers. Throws json::exception if it is absent or an element is not a number or does not
/// fit.
template <std::integral Integer>
std::vector<Integer> integers_at(const nlohmann::json& object, const char* member)
{
    std::vector<Integer> numbers;
    for (const auto& entry : object.at(member).get_ref<const nlohmann::json::array_t&>()) {
        numbers.push_back(to_integer<Integer>(entry));
    }
    return numbers;
}

/// The member limited to the range. Throws json::exception if it is absent, is not a number or does not fit.
inline std::chrono::milliseconds milliseconds_at(const nlohmann::json& object, const char* member,
                                                 std::chrono::milliseconds least,
                                                 std::chrono::milliseconds most)
{
    return std::clamp(std::chrono::milliseconds{integer_at<std::int64_t>(object, member)}, least, most);
}

/// The fallback if the member is absent or not a number.
inline double number_or(const nlohmann::json& object, const char* member, double fallback)
{
    const auto found = object.is_object() ? object.find(member) : object.end();
    return found != object.end() && found->is_number() ? found->get<double>() : fallback;
}

} // namespace vanillagauge

#endif
