/// Requests that crash the targets that run them, by fingerprint; records can be shared between nodes.
#ifndef VANILLAGAUGE_POLICY_QUARANTINE_HPP
#define VANILLAGAUGE_POLICY_QUARANTINE_HPP

#include "base/base.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace vanillagauge::policy {

/// Of what makes two requests the same to a target: deployment, method and body or prompt.
std::uint64_t request_fingerprint(std::string_view deployment, std::string_view method,
                                  std::string_view body);

/// What nodes tell each other of one request.
struct crash_record {
    std::uint64_t fingerprint = 0;
    std::set<std::uint64_t> targets; ///< hashes of the ids of targets lost while they ran it
    milliseconds remaining{0};       ///< how long the record still counts
};

/// What one node tells another, beginning where an earlier answer ended.
struct crash_update {
    std::uint64_t as_of = 0; ///< the teller's count of changes; ask again from here
    std::vector<crash_record> suspects;
    std::vector<std::uint64_t> cleared; ///< fingerprints of suspects that were answered since
};

/// How many different targets must be lost to a request before it is held.
struct quarantine_limits {
    std::size_t local_losses = 2; ///< one loss may be the target's own fault, and four can't spare a third
    std::size_t total_losses = 2;
};

class quarantine {
public:
    explicit quarantine(quarantine_limits limits = {}) : limits_(limits) {}

    /// The connection to `target` broke after the request had been sent at `began`.
    void on_crash(std::uint64_t fingerprint, std::string_view target, time_point began, time_point now);
    /// A connection that had served before broke: the target may have been lost earlier. Counts no target.
    void on_possible_crash(std::uint64_t fingerprint, time_point now);
    /// The request was answered: it does not crash targets.
    void on_answer(std::uint64_t fingerprint, time_point now);
    /// Takes over what another node knows; true where that was new here.
    bool merge(const std::vector<crash_record>& records, time_point now);
    bool merge(const crash_update& update, time_point now);

    /// An error with `quarantined` and `not_run`, or done.
    result<done> check(std::uint64_t fingerprint, time_point now) const;
    /// Whether a crash with this request was seen, so that its next one must be told from a stale connection.
    bool is_suspect(std::uint64_t fingerprint, time_point now) const;
    /// The records for other nodes, suspects too: a caller may send its request to another node each time.
    std::vector<crash_record> records(time_point now) const;
    /// What changed behind `since`, an earlier `as_of`; all of it where this node has counted less far, as
    /// after a restart.
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
    std::map<std::uint64_t, time_point> loss_times_; ///< by target: when its loss was noticed
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
