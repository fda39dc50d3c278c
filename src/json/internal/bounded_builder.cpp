#include "json/internal/bounded_builder.hpp"

#include "json/internal/memory_cost.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace vanillagauge::internal {

using nlohmann::json;

namespace {

/// Elements for which an array may have room without having them.
constexpr std::size_t max_spare_elements = 64;

/// What is wanted in the member of this name; null if the member is not wanted.
const std::vector<json_member>* wanted_in(const std::vector<json_member>& wanted, std::string_view name)
{
    if (wanted.empty()) {
        return &wanted;
    }
    const auto found = std::find_if(wanted.begin(), wanted.end(),
                                    [name](const json_member& member) { return member.name == name; });
    return found == wanted.end() ? nullptr : &found->wanted;
}

} // namespace

bool bounded_builder::null()
{
    return add_value(nullptr, 0);
}

bool bounded_builder::boolean(bool value)
{
    return add_value(value, 0);
}

bool bounded_builder::number_integer(number_integer_t value)
{
    return add_value(value, 0);
}

bool bounded_builder::number_unsigned(number_unsigned_t value)
{
    return add_value(value, 0);
}

bool bounded_builder::number_float(number_float_t value, const string_t& /*text*/)
{
    return add_value(value, 0);
}

bool bounded_builder::string(string_t& value)
{
    const auto bytes = string_cost + characters_cost(value.size());
    return wanted_in_next() == nullptr || add_value(std::move(value), bytes);
}

bool bounded_builder::binary(binary_t& /*value*/)
{
    return false;
}

bool bounded_builder::start_object(std::size_t /*elements*/)
{
    return open(json::object(), object_cost);
}

bool bounded_builder::key(string_t& value)
{
    auto& parent = open_.back();
    if (parent.built != nullptr) {
        parent.wanted_in_next = wanted_in(*parent.wanted, value);
        key_ = std::move(value);
    }
    return true;
}

bool bounded_builder::end_object()
{
    return close();
}

bool bounded_builder::start_array(std::size_t /*elements*/)
{
    return open(json::array(), array_cost);
}

bool bounded_builder::end_array()
{
    return close();
}

bool bounded_builder::parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                                  const nlohmann::detail::exception& /*why*/)
{
    return false;
}

/// Null if the next value is left out.
const std::vector<json_member>* bounded_builder::wanted_in_next() const
{
    return open_.empty() ? &wanted_ : open_.back().wanted_in_next;
}

bool bounded_builder::add_value(json value, std::size_t bytes)
{
    if (wanted_in_next() == nullptr) {
        return true;
    }
    memory_ += bytes;
    add(std::move(value));
    return !is_too_large();
}

json& bounded_builder::add(json value)
{
    if (open_.empty()) {
        root_ = std::move(value);
        return root_;
    }
    auto& parent = *open_.back().built;
    if (parent.is_array()) {
        memory_ += element_cost + (parent.empty() ? first_element_cost : 0);
        parent.push_back(std::move(value));
        return parent.back();
    }
    memory_ += member_cost + characters_cost(key_.size());
    auto& member = parent[std::move(key_)];
    member = std::move(value);
    return member;
}

// The levels of a value that is left out count too: it may be no deeper than one that is built.
bool bounded_builder::open(json value, std::size_t bytes)
{
    if (open_.size() >= max_depth_) {
        return false;
    }
    const auto* wanted = wanted_in_next();
    if (wanted == nullptr) {
        open_.push_back({nullptr, nullptr, nullptr});
        return true;
    }
    memory_ += bytes;
    open_.push_back({&add(std::move(value)), wanted, wanted});
    return !is_too_large();
}

bool bounded_builder::close()
{
    auto* closed = open_.back().built;
    if (closed != nullptr && closed->is_array()) {
        auto& elements = closed->get_ref<json::array_t&>();
        if (elements.capacity() - elements.size() > max_spare_elements) {
            elements.shrink_to_fit();
        }
    }
    open_.pop_back();
    return true;
}

} // namespace vanillagauge::internal
