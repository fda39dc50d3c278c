/// Address advice for callers: the entry processes to use, and the claim pair for call keys.
#ifndef VANILLAGAUGE_ENTRY_LOCATE_HPP
#define VANILLAGAUGE_ENTRY_LOCATE_HPP

#include "node/keeper_link.hpp"

#include <string>
#include <vector>

namespace vanillagauge::entry {

/// How long a caller may keep an answer: less than a stopping VM keeps serving after it left the advice.
milliseconds advice_ttl(milliseconds drain_time);
/// How long keys with an answer's prefix are valid.
constexpr milliseconds key_ttl{60000};

struct location {
    std::vector<std::string> addresses; ///< in the order to try
    std::string key_prefix;             ///< empty while only one entry process is known
};

struct locate_query {
    std::string near_domain; ///< of the caller, where known
    std::string caller;
    std::string own_vm; ///< of the answering process
    time_point now;
    std::int64_t wall_ms = 0; ///< keys expire by wall clock
};

/// Entries of the caller's failure domain first, then by load; the order for a named caller is stable while
/// members and loads are unchanged. `unavailable` where no entry process is known to be alive.
result<location> locate(const node::view& view, const locate_query& query);

} // namespace vanillagauge::entry

#endif
