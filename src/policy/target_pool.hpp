/// The targets of a deployment and the choice of one for each request.
#ifndef VANILLAGAUGE_POLICY_TARGET_POOL_HPP
#define VANILLAGAUGE_POLICY_TARGET_POOL_HPP

#include "policy/concurrency_limit.hpp"
#include "policy/latency_quantile.hpp"
#include "policy/load_hint.hpp"
#include "policy/outlier_ejection.hpp"
#include "policy/placement.hpp"
#include "policy/target_speed.hpp"
#include "policy/work.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace vanillagauge::policy {

struct pool_target {
    std::string id;
    std::string failure_domain;
    bool leaving = false; ///< gets no new work
};

struct pool_options {
    /// False: round robin without limits, the baseline of measurements.
    bool limited = true;
    /// For a target without responses yet. Sixteen is the concurrency of the smallest services.
    int initial_limit = 16;
    /// False: a fixed limit, for work whose latency says little about the target's load.
    bool adaptive = true;
};

/// The result of an attempt at a target.
enum class attempt_result {
    answered,
    failed,   ///< lost connection, timeout or internal error
    draining, ///< the target accepts no new work
    unknown,  ///< says nothing about the target, such as a cancelled request
};

struct attempt_report {
    attempt_result kind = attempt_result::unknown;
    duration latency{0};
};

class target_pool {
public:
    target_pool(std::uint64_t seed, pool_options options) : random_(seed), options_(options) {}

    void update(const std::vector<pool_target>& targets, time_point now);
    /// Assigns a request to a target and returns its id; none if none with free capacity was found.
    std::optional<std::string> acquire(const work& item, time_point now);
    /// Whether a target other than `current` has free capacity for the request.
    bool has_room_beside(const std::string& current, const work& item, time_point now);
    /// Ends a request at a target. Ignores ids of removed targets.
    void release(const std::string& id, const attempt_report& report, time_point now);
    void on_report(const std::string& id, const load_report& report, time_point now);

    std::size_t size() const { return usable_.size(); }
    std::size_t ejected() const { return ejection_.ejected(); }
    int in_flight(const std::string& id) const;
    int in_flight() const { return total_in_flight_; }
    int limit(const std::string& id, time_point now) const;
    /// How long to wait for a response before hedging.
    duration hedge_delay() const;
    /// Whether the request can end before its deadline at some target, if `queued` requests start before it.
    /// True unless every usable target is known to have no free slot and too long a wait.
    bool can_end_in_time(const work& item, std::size_t queued, time_point now);
    /// Median time of a request without waiting; zero if no response was received yet.
    duration work_time() const;

private:
    struct record {
        pool_target target;
        concurrency_limit limit;
        int in_flight = 0;
        load_hint hint{};
        target_health health{};
        time_point joined{}; ///< start of its slow start; the epoch: no ramp
        latency_quantile median{0.5};
        target_speed speed{};
    };

    std::mt19937_64 random_;
    pool_options options_;
    bool populated_ = false;
    std::map<std::string, std::size_t> index_by_id_;
    std::vector<record> entries_;
    std::vector<std::size_t> usable_; ///< not leaving
    std::unordered_map<std::string, std::vector<std::size_t>> by_domain_;
    prefix_ring ring_;
    int total_in_flight_ = 0;
    std::size_t round_robin_next_ = 0;
    outlier_ejection ejection_;
    latency_quantile median_{0.5};
    latency_quantile p95_{0.95};
    latency_quantile work_time_{0.5}; ///< without waiting
    bool slowdown_reported_ = false;  ///< by any target: requests are placed by expected finish

    void rebuild_index();
    record updated_record(const pool_target& target, time_point now);
    int effective_limit(const record& item, time_point now) const;
    bool has_room_for(std::size_t index, const work& item, time_point now);
    std::optional<std::size_t> choose(const work& item, time_point now);
    std::optional<std::size_t> choose_round_robin(const work& item);
    std::optional<std::size_t> choose_usable(const std::function<bool(std::size_t)>& usable, const work& item,
                                             time_point now);
    std::optional<std::size_t> choose_cached(const work& item, time_point now);
    double cost(std::size_t index, time_point now) const;
    duration current_work_time(const record& entry, time_point now) const;
    double expected_finish(std::size_t index, time_point now) const;
};

} // namespace vanillagauge::policy

#endif
