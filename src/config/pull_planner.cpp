#include "config/pull_planner.hpp"

namespace vanillagauge::config {

bool pull_planner::may_start(const std::optional<time_point>& last, milliseconds every, time_point now) const
{
    const bool busy = under_way_ && now - started_ < timing_.answer_within;
    return !busy && (!last || now - *last >= every);
}

// Hundreds of peers notice one change at the same time. Each asks one peer for what is newer, once; without
// the pause a node would ask every peer that it hears of the change from and receive the same objects many
// times.
std::optional<pull_kind> pull_planner::heard(const replica_mark& own, const replica_mark& theirs,
                                             time_point now)
{
    if (own.digest == theirs.digest) {
        fruitless_ = 0;
        return std::nullopt;
    }
    // The one that is behind in the newest version asks first.
    if (theirs.newest_version < own.newest_version) {
        return std::nullopt;
    }
    const bool tried = tried_own_ == own.digest && tried_theirs_ == theirs.digest;
    if (!tried) {
        if (!may_start(last_pull_, timing_.pull_every, now)) {
            return std::nullopt;
        }
        under_way_ = true;
        started_ = now;
        last_pull_ = now;
        tried_own_ = own.digest;
        tried_theirs_ = theirs.digest;
        return pull_kind::recent;
    }
    // The recent changes did not settle it: something older is missing on one side, which only a comparison
    // of all versions finds.
    if (!may_start(last_whole_, timing_.whole_every, now)) {
        return std::nullopt;
    }
    under_way_ = true;
    started_ = now;
    last_whole_ = now;
    if (++fruitless_ > timing_.whole_pulls_before_list) {
        fruitless_ = 0;
        return pull_kind::from_store;
    }
    return pull_kind::whole;
}

} // namespace vanillagauge::config
