/// Decides which organisation a request acts for, and who may use a batch. No network, no clock.
#ifndef VANILLAGAUGE_GATEWAY_CALLER_ACCESS_HPP
#define VANILLAGAUGE_GATEWAY_CALLER_ACCESS_HPP

#include "gateway/configuration.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace vanillagauge::gateway {

/// The refusal of a key that no organisation has.
error unknown_key();

/// The organisation of a request; none where the configuration has no organisations or the route is public.
/// `unauthenticated` if no organisation has the key.
result<std::optional<organisation>> identify_caller(const configuration& current, const route& chosen,
                                                    std::string_view key);

/// Whether the holder of the key may read and end a batch that `owner` submitted; `owner` is empty for a
/// batch that acts for no organisation. `unauthenticated` if no organisation has the key, `not_found` if
/// another one has it: whether the batch exists is no concern of others.
result<done> check_batch_access(const configuration& current, std::string_view key, const std::string& owner);

/// The priority of a request: the organisation's if it has one, else the route's.
int priority_of(const route& chosen, const std::optional<organisation>& acts_for);

} // namespace vanillagauge::gateway

#endif
