/// Decides when a replica pulls from a peer, by comparing the marks that peers send with their probes.
#ifndef VANILLAGAUGE_CONFIG_PULL_PLANNER_HPP
#define VANILLAGAUGE_CONFIG_PULL_PLANNER_HPP

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillagauge::config {

/// Summarizes the content of a replica in 16 bytes.
struct replica_mark {
    std::uint64_t digest = 0;
    std::uint64_t newest_version = 0;
};

struct pull_timing {
    milliseconds pull_interval{100};      ///< between pulls of recent changes
    milliseconds complete_interval{5000}; ///< between complete pulls
    milliseconds pull_timeout{2000};      ///< a pull without a reply for this long is abandoned
    int max_complete_pulls = 3;           ///< without convergence; then the store is listed
};

enum class pull_kind {
    recent,   ///< newer objects, and the last changes before
    complete, ///< compare all versions
    from_store,
};

class pull_planner {
public:
    explicit pull_planner(pull_timing timing = {}) : timing_(timing) {}

    /// Handles a mark received from a peer; returns the pull to start, if any, which is then in progress.
    std::optional<pull_kind> on_mark(const replica_mark& own, const replica_mark& theirs, time_point now);
    /// The pull ended, with or without a reply.
    void on_ended() { in_progress_ = false; }

private:
    pull_timing timing_;
    bool in_progress_ = false;
    time_point started_at_{};
    std::optional<time_point> last_pull_;
    std::optional<time_point> last_complete_;
    std::uint64_t tried_own_digest_ = 0; ///< the digests before the last recent pull
    std::uint64_t tried_peer_digest_ = 0;
    int unresolved_pulls_ = 0;

    bool may_start(const std::optional<time_point>& last, milliseconds interval, time_point now) const;
};

} // namespace vanillagauge::config

#endif
