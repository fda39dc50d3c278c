#include "config/pull_planner.hpp"

namespace vanillagauge::config {

bool pull_planner::may_start(const std::optional<time_point>& last, milliseconds interval,
                             time_point now) const
{
    const bool busy = in_progress_ && now - started_at_ < timing_.pull_timeout;
    return !busy && (!last || now - *last >= interval);
}

// Hundreds of peers announce the same change at once. Without the minimum interval a node would pull from
// each of them and receive the same objects many times.
std::optional<pull_kind> pull_planner::on_mark(const replica_mark& own, const replica_mark& theirs,
                                               time_point now)
{
    if (own.digest == theirs.digest) {
        unresolved_pulls_ = 0;
        return std::nullopt;
    }
    // The replica with the lower newest version pulls first.
    if (theirs.newest_version < own.newest_version) {
        return std::nullopt;
    }
    const bool tried = tried_own_digest_ == own.digest && tried_peer_digest_ == theirs.digest;
    if (!tried) {
        if (!may_start(last_pull_, timing_.pull_interval, now)) {
            return std::nullopt;
        }
        in_progress_ = true;
        started_at_ = now;
        last_pull_ = now;
        tried_own_digest_ = own.digest;
        tried_peer_digest_ = theirs.digest;
        return pull_kind::recent;
    }
    // Recent changes did not resolve the difference: an older object is missing on one side, which only a
    // comparison of all versions finds.
    if (!may_start(last_complete_, timing_.complete_interval, now)) {
        return std::nullopt;
    }
    in_progress_ = true;
    started_at_ = now;
    last_complete_ = now;
    if (++unresolved_pulls_ > timing_.max_complete_pulls) {
        unresolved_pulls_ = 0;
        return pull_kind::from_store;
    }
    return pull_kind::complete;
}

} // namespace vanillagauge::config
