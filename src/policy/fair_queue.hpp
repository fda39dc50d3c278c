/// Bounded queue of requests that wait for a target: strict priorities, fair between callers, early refusal.
#ifndef VANILLAGAUGE_POLICY_FAIR_QUEUE_HPP
#define VANILLAGAUGE_POLICY_FAIR_QUEUE_HPP

#include "policy/work.hpp"

#include <array>
#include <list>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace vanillagauge::policy {

/// A refused request; its error is always `not_run` and has a retry delay.
struct refusal {
    std::uint64_t work_id = 0;
    error reason;
};

/// How long requests may wait.
enum class wait_policy {
    shed_early,     ///< refused early, so that the caller can try another node
    until_deadline, ///< no other node can serve it: waits until its deadline
};

class fair_queue {
public:
    /// `seed` of the hash of callers' names; use a different one in each process.
    explicit fair_queue(std::uint64_t seed, wait_policy policy = wait_policy::shed_early)
        : seed_(seed), wait_policy_(policy), random_(seed)
    {
    }

    /// Queues the request, or returns why not. A full queue may evict another request for it, which
    /// `collect_refused` then returns.
    result<done> push(work item, time_point now);
    /// Removes the request that `front` returns; there must be one.
    work pop();
    /// Requests that have reached their maximum wait or were evicted since the last call.
    std::vector<refusal> collect_refused(time_point now);
    /// Records a request that starts, queued or not: its caller's next queued request yields to callers that
    /// received less service recently.
    void on_started(const work& item, time_point now);
    /// Records a request finished by a target, to estimate the drain rate.
    void on_finished(time_point now);

    /// The next request to serve; null if the queue is empty.
    const work* front() const;
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }
    /// Callers that wait or are remembered for their recent service; bounded.
    std::size_t known_callers() const;
    /// When the next request reaches its maximum wait; none if the queue is empty.
    std::optional<time_point> next_expiry() const;
    /// Requests that would be served before this one.
    std::size_t requests_ahead(const work& item) const;
    /// Estimated time to serve them; zero if the drain rate is unknown.
    duration expected_wait(const work& item) const;

private:
    using id_position = std::list<std::uint64_t>::iterator;
    /// Hash of a caller's name: 64 bits, so that no two callers share one.
    using caller_key = std::uint64_t;
    /// Cost of the requests started recently; it decays.
    struct recent_service {
        double cost = 0;
        time_point at;

        double at_time(time_point now) const;
        void add(double more, time_point now);
    };
    struct caller_queue {
        std::list<std::uint64_t> ids;
        double start_tag = 0; ///< virtual start time of its next request
        recent_service received{};
    };
    struct class_queue {
        std::unordered_map<caller_key, caller_queue> callers; ///< those that wait, and some idle ones
        std::set<std::pair<double, caller_key>> active;       ///< callers that wait, by tag
        double virtual_time = 0;
        std::size_t size = 0;
        recent_service received{}; ///< by all callers
    };
    struct waiting {
        work item;
        time_point expires_at;
        caller_key caller = 0;
        id_position in_queue;
    };

    std::uint64_t seed_;
    wait_policy wait_policy_;
    std::mt19937_64 random_;
    std::array<class_queue, priority_count> classes_;
    std::unordered_map<std::uint64_t, waiting> entries_;
    std::set<std::pair<time_point, std::uint64_t>> expiries_;
    std::vector<refusal> refused_;
    double drain_rate_ = 0; ///< requests a second while the queue is not empty; 0: not measured
    double finished_ = 0;
    time_point rate_start_;
    time_point rate_at_;
    time_point nonempty_since_;

    caller_key key_of(const work& item) const;
    static caller_queue& known_caller(class_queue& queue, caller_key caller, time_point now);
    static void forget_idle_callers(class_queue& queue, time_point now);
    static std::size_t waiting_of(const class_queue& queue, caller_key caller);
    bool evict_for(const work& item, time_point now);
    void insert(work item, time_point expires_at, time_point now);
    duration max_wait_of(const work& item, time_point now) const;
    work remove(std::uint64_t id);
    error refused(const char* why, const work& item, time_point now);
};

} // namespace vanillagauge::policy

#endif
