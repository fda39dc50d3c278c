/// Admission, queueing and placement of requests for one deployment.
#ifndef VANILLAGAUGE_POLICY_SCHEDULER_HPP
#define VANILLAGAUGE_POLICY_SCHEDULER_HPP

#include "policy/fair_queue.hpp"
#include "policy/quarantine.hpp"
#include "policy/retry_budget.hpp"
#include "policy/target_pool.hpp"

#include <variant>

namespace vanillagauge::policy {

struct placed {
    std::uint64_t work_id = 0;
    std::string target;
};
struct queued {};
/// An error is final and `not_run`.
using decision = std::variant<placed, queued, error>;

/// Changes to queued requests.
struct queue_changes {
    std::vector<placed> started;
    std::vector<refusal> refused;
};

class scheduler {
public:
    scheduler(std::uint64_t seed, pool_options options, wait_policy policy = wait_policy::shed_early)
        : pool_(seed, options), queue_(seed, policy), wait_policy_(policy), unlimited_(!options.limited),
          random_(seed)
    {
    }

    void update(const std::vector<pool_target>& targets, time_point now);
    void on_report(const std::string& target, const load_report& report, time_point now);
    /// Submits a first attempt. If queued, a later `advance` returns it.
    decision submit(work item, time_point now);
    /// Another target for a retry or a hedge; none if there is none now: retries are not queued. Consumes
    /// retry budget.
    std::optional<placed> retry(const work& item, time_point now);
    /// Whether a retry of work that runs at `current` would find another target now.
    bool may_retry(const work& item, const std::string& current, time_point now);
    /// Acquires a target without queueing, for work with its own queue.
    std::optional<placed> acquire(const work& item, time_point now);
    void finish(const std::string& target, const attempt_report& report, time_point now);
    /// Starts queued requests that find a target and refuses those at their maximum wait. Call after `finish`
    /// and `update`, and at `next_expiry`.
    queue_changes advance(time_point now);

    std::optional<time_point> next_expiry() const { return queue_.next_expiry(); }
    /// When the caller of a request that the targets refused should return.
    milliseconds full_retry_after(const work& item, time_point now);
    std::size_t waiting() const { return queue_.size(); }
    const target_pool& pool() const { return pool_; }

private:
    target_pool pool_;
    fair_queue queue_;
    retry_budget budget_;
    wait_policy wait_policy_;
    bool unlimited_;
    std::mt19937_64 random_;
    std::optional<time_point> lost_at_; ///< since when there is no usable target
};

} // namespace vanillagauge::policy

#endif
