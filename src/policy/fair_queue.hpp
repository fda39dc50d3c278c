/// Requests that wait for a target: bounded, by priority, fair between callers, and turned away early.
#ifndef VANILLAGAUGE_POLICY_FAIR_QUEUE_HPP
#define VANILLAGAUGE_POLICY_FAIR_QUEUE_HPP

#include "policy/work.hpp"

#include <array>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace vanillagauge::policy {

/// A request that is turned away; its error is always `not_run` with a time to come back.
struct refusal {
    std::uint64_t work_id = 0;
    error reason;
};

/// Who waits in the line.
enum class wait_policy {
    shed_early,     ///< is turned away early, to be served elsewhere
    until_deadline, ///< has nowhere else to go, and may wait until its deadline
};

class fair_queue {
public:
    /// `seed` decides which callers share a bucket; let it differ between processes.
    explicit fair_queue(std::uint64_t seed, wait_policy policy = wait_policy::shed_early)
        : seed_(seed), wait_policy_(policy)
    {
    }

    // Commands.
    /// Takes the request in, or returns why not. Where the queue is full, another request may be turned away
    /// for it; `collect_refused` hands that one out.
    result<done> push(work item, time_point now);
    /// Takes out what `front` names; there must be one.
    work pop();
    /// Requests that have waited as long as they may, and those that gave way to others.
    std::vector<refusal> collect_refused(time_point now);
    /// A target finished a request: the rate of these is what the queue drains at.
    void on_finished(time_point now);

    // Queries.
    /// The next request to serve; null where none waits.
    const work* front() const;
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }
    /// When the next request will have waited as long as it may; empty where none waits.
    std::optional<time_point> next_expiry() const;
    /// How long until the present queue is served.
    milliseconds drain_time() const;

private:
    static constexpr std::size_t bucket_count = 256;

    using id_position = std::list<std::uint64_t>::iterator;
    struct bucket {
        std::list<std::uint64_t> ids;
        double start_tag = 0; ///< virtual time at which its next request starts
    };
    struct class_queue {
        std::array<bucket, bucket_count> buckets;
        std::set<std::pair<double, std::size_t>> active; ///< buckets with requests, by tag
        double virtual_time = 0;
        std::size_t size = 0;
    };
    struct waiting {
        work item;
        time_point expires_at;
        std::size_t bucket = 0;
        id_position in_bucket;
    };

    std::uint64_t seed_;
    wait_policy wait_policy_;
    std::array<class_queue, priority_count> classes_;
    std::unordered_map<std::uint64_t, waiting> entries_;
    std::set<std::pair<time_point, std::uint64_t>> expiries_;
    std::vector<refusal> refused_;
    double drain_rate_ = 0; ///< requests finished a second while others waited; 0: not known yet
    double finished_ = 0;
    time_point rate_start_;
    time_point rate_at_;
    time_point nonempty_since_;

    std::size_t bucket_of(const work& item) const;
    std::size_t requests_ahead(const work& item) const;
    bool evict_for(const work& item);
    void insert(work item, time_point expires_at, time_point now);
    duration max_wait_of(const work& item, time_point now) const;
    work remove(std::uint64_t id);
    error refused(const char* why) const;
};

} // namespace vanillagauge::policy

#endif
