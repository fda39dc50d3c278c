/// Detects and blocks requests that crash the targets that run them; nodes share their records.
#ifndef VANILLAGAUGE_POLICY_QUARANTINE_HPP
#define VANILLAGAUGE_POLICY_QUARANTINE_HPP

#include "base/base.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace vanillagauge::policy {

/// Hash of the deployment, the method and the body or prompt.
std::uint64_t request_fingerprint(std::string_view deployment, std::string_view method,
                                  std::string_view body);

/// One suspect request, as exchanged between nodes.
struct crash_record {
    std::uint64_t fingerprint = 0;
    std::set<std::uint64_t> targets; ///< hashes of the ids of targets that crashed while running it
    milliseconds remaining{0};       ///< time until the record expires
};

/// Incremental update from one node to another.
struct crash_update {
    std::uint64_t as_of = 0; ///< the sender's change counter; request the next update from here
    std::vector<crash_record> suspects;
    std::vector<std::uint64_t> cleared; ///< fingerprints of suspects that completed since
};

/// How many different targets a request must crash before it is quarantined.
struct quarantine_limits {
    std::size_t local_losses = 2; ///< one may be the target's own fault; a group of four can't lose a third
    std::size_t total_losses = 2;
};

class quarantine {
public:
    explicit quarantine(quarantine_limits limits = {}) : limits_(limits) {}

    /// The connection to `target` was lost after the request was sent at `began`.
    void on_crash(std::uint64_t fingerprint, std::string_view target, time_point began, time_point now);
    /// A reused connection was lost: the target may have crashed earlier. Marks a suspect, counts no crash.
    void on_possible_crash(std::uint64_t fingerprint, time_point now);
    /// The request completed: it does not crash targets.
    void on_answer(std::uint64_t fingerprint, time_point now);
    /// Adds another node's records; true if any was new.
    bool merge(const std::vector<crash_record>& records, time_point now);
    bool merge(const crash_update& update, time_point now);

    /// An error with `quarantined` and `not_run`, or done.
    result<done> check(std::uint64_t fingerprint, time_point now) const;
    /// Whether the request may have crashed a target; a further loss must not be mistaken for a stale
    /// connection.
    bool is_suspect(std::uint64_t fingerprint, time_point now) const;
    /// All records for other nodes, including suspects: a caller may retry at a different node each time.
    std::vector<crash_record> records(time_point now) const;
    /// The changes after `since`, an earlier `as_of`; everything if `since` is ahead of this node's counter,
    /// as after a restart.
    crash_update update_since(std::uint64_t since, time_point now) const;
    bool changed_since(std::uint64_t since) const { return revision_ != since; }
    std::size_t size() const { return records_.size(); }

private:
    struct record {
        std::set<std::uint64_t> targets;
        std::size_t local_losses = 0;
        time_point expires;
        std::uint64_t revision = 0;
    };
    struct clearance {
        time_point expires;
        std::uint64_t revision = 0;
    };
    quarantine_limits limits_;
    std::map<std::uint64_t, record> records_;
    std::map<std::uint64_t, clearance> cleared_;
    std::map<std::uint64_t, time_point> loss_times_; ///< by target: when its crash was detected
    std::uint64_t revision_ = 0;

    bool is_quarantined(const record& entry) const;
    record& touch(std::uint64_t fingerprint, time_point now);
    void clear(std::uint64_t fingerprint, time_point now);
    bool is_cleared(std::uint64_t fingerprint, time_point now) const;
    bool lost_before(std::uint64_t target, time_point began, time_point now);
    void make_room(time_point now);
};

} // namespace vanillagauge::policy

#endif
