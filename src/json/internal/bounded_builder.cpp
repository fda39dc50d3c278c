#include "json/internal/bounded_builder.hpp"

#include <utility>

namespace vanillagauge::internal {

using nlohmann::json;

bool bounded_builder::null()
{
    add(nullptr);
    return true;
}

bool bounded_builder::boolean(bool value)
{
    add(value);
    return true;
}

bool bounded_builder::number_integer(number_integer_t value)
{
    add(value);
    return true;
}

bool bounded_builder::number_unsigned(number_unsigned_t value)
{
    add(value);
    return true;
}

bool bounded_builder::number_float(number_float_t value, const string_t& /*text*/)
{
    add(value);
    return true;
}

bool bounded_builder::string(string_t& value)
{
    add(std::move(value));
    return true;
}

bool bounded_builder::binary(binary_t& /*value*/)
{
    return false;
}

bool bounded_builder::start_object(std::size_t /*elements*/)
{
    return open(json::object());
}

bool bounded_builder::key(string_t& value)
{
    key_ = std::move(value);
    return true;
}

bool bounded_builder::end_object()
{
    return close();
}

bool bounded_builder::start_array(std::size_t /*elements*/)
{
    return open(json::array());
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

json& bounded_builder::add(json value)
{
    if (open_.empty()) {
        root_ = std::move(value);
        return root_;
    }
    auto& parent = *open_.back();
    if (parent.is_array()) {
        parent.push_back(std::move(value));
        return parent.back();
    }
    auto& member = parent[key_];
    member = std::move(value);
    return member;
}

bool bounded_builder::open(json value)
{
    if (open_.size() >= max_depth_) {
        return false;
    }
    open_.push_back(&add(std::move(value)));
    return true;
}

bool bounded_builder::close()
{
    open_.pop_back();
    return true;
}

} // namespace vanillagauge::internal
