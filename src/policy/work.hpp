/// A request, as seen by load management.
#ifndef VANILLAGAUGE_POLICY_WORK_HPP
#define VANILLAGAUGE_POLICY_WORK_HPP

#include "base/base.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace vanillagauge::policy {

/// From highest to lowest.
enum class priority { gate, member, batch };
constexpr std::size_t priority_count = 3;

/// `member` for an empty or unknown name.
priority parse_priority(std::string_view text);

struct work {
    std::uint64_t id = 0;
    std::string caller;
    priority urgency = priority::member;
    double cost = 1; ///< relative to other requests, for fair queueing
    time_point deadline;
    std::string near_domain;
    std::uint64_t prefix = 0;    ///< hash of a prefix that targets may have cached; 0: no affinity
    std::set<std::string> tried; ///< targets not to use again
};

} // namespace vanillagauge::policy

#endif
