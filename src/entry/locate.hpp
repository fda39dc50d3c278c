/// Address advice for callers: which entry processes to use, and under which pair to mint call keys.
#ifndef VANILLAGAUGE_ENTRY_LOCATE_HPP
#define VANILLAGAUGE_ENTRY_LOCATE_HPP

#include "node/keeper_link.hpp"

#include <string>
#include <vector>

namespace vanillagauge::entry {

/// How long a caller may keep an answer: less than the time that a stopping VM serves after it left the
/// advice.
milliseconds advice_ttl(milliseconds drain_time);
/// How long keys of an answer may be used.
constexpr milliseconds key_ttl{60000};

struct location {
    std::vector<std::string> addresses; ///< in the order to try them
    std::string key_prefix;             ///< empty while only one entry process is known
};

struct locate_query {
    std::string near_domain; ///< of the caller, where known
    std::string caller;
    std::string own_vm; ///< of the process that answers
    time_point now;
    std::int64_t wall_ms = 0; ///< keys expire by wall clock
};

/// Near entries first, then those with less load; one caller gets the same order while these stay as they
/// are. `unavailable` where no entry process is known to be alive.
result<location> locate(const node::view& view, const locate_query& query);

} // namespace vanillagauge::entry

#endif
