/// A value or an error.
#ifndef VANILLAGAUGE_BASE_RESULT_HPP
#define VANILLAGAUGE_BASE_RESULT_HPP

#include "base/error.hpp"

#include <utility>
#include <variant>

namespace vanillagauge {

template <class Value>
using result = std::variant<Value, error>;

/// The value of an operation without a result.
struct done {};

template <class Value>
bool ok(const result<Value>& outcome)
{
    return std::holds_alternative<Value>(outcome);
}

/// The value; throws std::bad_variant_access on an error.
template <class Value>
Value& value(result<Value>& outcome)
{
    return std::get<Value>(outcome);
}

template <class Value>
const Value& value(const result<Value>& outcome)
{
    return std::get<Value>(outcome);
}

template <class Value>
Value value(result<Value>&& outcome)
{
    return std::get<Value>(std::move(outcome));
}

/// The error; throws std::bad_variant_access on a value.
template <class Value>
const error& failure(const result<Value>& outcome)
{
    return std::get<error>(outcome);
}

} // namespace vanillagauge

#endif
