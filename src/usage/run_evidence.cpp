#include "usage/run_evidence.hpp"

namespace vanillagauge::usage {
namespace {

/// A replica that closes a kept connection for its idle time does so within a round trip of the send.
constexpr milliseconds idle_close_time{5};

} // namespace

// Where the start has to be inferred: a request that was sent and got no answer is counted, because a replica
// begins within milliseconds unless it is full, and then it says so. Not counted is one that meets the end of
// an idle connection. Wrong for a request that is sent to a replica without power, by one.
bool probably_ran(const run_evidence& seen)
{
    if (!seen.sent || seen.refused) {
        return false;
    }
    const bool met_idle_close =
        seen.closed && !seen.answered && seen.reused_connection && seen.since_sent < idle_close_time;
    return !met_idle_close;
}

} // namespace vanillagauge::usage
