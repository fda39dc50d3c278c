/// When a refused caller should return.
#ifndef VANILLAGAUGE_POLICY_RETRY_AFTER_HPP
#define VANILLAGAUGE_POLICY_RETRY_AFTER_HPP

#include "policy/work.hpp"

#include <random>

namespace vanillagauge::policy {

/// Lower bound of `retry_after`.
constexpr milliseconds min_retry_after{50};

/// The delay after which capacity is expected, at least 50 ms and otherwise at most a third of `time_left`:
/// shorter for more urgent requests, and spread at random by 25%.
milliseconds retry_after(duration expected_wait, priority urgency, duration time_left,
                         std::mt19937_64& random);

} // namespace vanillagauge::policy

#endif
