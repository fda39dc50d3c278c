/// Delays before a retry, as other programs name them.
#ifndef VANILLAGAUGE_BASE_RETRY_DELAY_HPP
#define VANILLAGAUGE_BASE_RETRY_DELAY_HPP

#include "base/clock.hpp"

#include <algorithm>
#include <cstdint>

namespace vanillagauge {

/// Longer than any sender means; more could be beyond what a clock can represent.
constexpr milliseconds max_named_retry_delay{std::chrono::hours{1}};

/// The delay of a message in milliseconds; limited to an hour, and none if it is negative.
constexpr milliseconds named_retry_delay(std::int64_t count)
{
    return milliseconds{std::clamp(count, std::int64_t{0}, std::int64_t{max_named_retry_delay.count()})};
}

} // namespace vanillagauge

#endif
