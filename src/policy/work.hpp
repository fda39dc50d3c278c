/// A request as the decisions under load see it.
#ifndef VANILLAGAUGE_POLICY_WORK_HPP
#define VANILLAGAUGE_POLICY_WORK_HPP

#include "base/base.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace vanillagauge::policy {

/// In the order in which they are served.
enum class priority { gate, member, batch };
constexpr std::size_t priority_count = 3;

/// `member` for an empty or unknown name.
priority parse_priority(std::string_view text);

struct work {
    std::uint64_t id = 0;
    std::string caller;
    priority urgency = priority::member;
    double cost = 1; ///< against the work of other callers
    time_point deadline;
    std::string near_domain;
    std::uint64_t prefix = 0;    ///< hash of what targets may have cached; 0: no affinity
    std::set<std::string> tried; ///< targets that are not to be used again
};

} // namespace vanillagauge::policy

#endif
