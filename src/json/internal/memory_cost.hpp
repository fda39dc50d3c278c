/// Memory that the parts of a document take, as the usual standard libraries lay them out.
#ifndef VANILLAGAUGE_JSON_INTERNAL_MEMORY_COST_HPP
#define VANILLAGAUGE_JSON_INTERNAL_MEMORY_COST_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace vanillagauge::internal {

/// Bytes that an allocation takes beyond what was asked for, with its rounding.
inline constexpr std::size_t allocation_overhead = 16;
/// Color and three pointers of a map's node.
inline constexpr std::size_t node_header = 4 * sizeof(void*);

/// Bytes of an element in its array.
inline constexpr std::size_t element_cost = sizeof(nlohmann::json);
/// Bytes that the elements' storage takes beside them, beyond the overhead that an empty array is counted
/// with.
inline constexpr std::size_t first_element_cost = 8;
/// Bytes of a member in its object, without the characters of a long key.
inline constexpr std::size_t member_cost =
    sizeof(nlohmann::json::object_t::value_type) + node_header + allocation_overhead;
/// Bytes of an empty array or object, beside its place there.
inline constexpr std::size_t array_cost = sizeof(nlohmann::json::array_t) + allocation_overhead;
inline constexpr std::size_t object_cost = sizeof(nlohmann::json::object_t) + allocation_overhead;
inline constexpr std::size_t string_cost = sizeof(std::string) + allocation_overhead;

/// Bytes of a string's characters, beside the string.
inline std::size_t characters_cost(std::size_t length)
{
    static const std::size_t kept_inside = std::string().capacity();
    return length > kept_inside ? length + 1 + allocation_overhead : 0;
}

} // namespace vanillagauge::internal

#endif
