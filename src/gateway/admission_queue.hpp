/// Admission to the replicas of one service: tasks wait here until a replica has capacity or they are
/// refused.
#ifndef VANILLAGAUGE_GATEWAY_ADMISSION_QUEUE_HPP
#define VANILLAGAUGE_GATEWAY_ADMISSION_QUEUE_HPP

#include "gateway/target_registry.hpp"
#include "net/async_condition.hpp"
#include "policy/scheduler.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace vanillagauge::gateway {

class admission_queue {
public:
    admission_queue(net::loop& loop, std::uint64_t seed, policy::pool_options options,
                    policy::wait_policy wait_policy);

    /// Sets the service's current replicas.
    void update(const std::vector<target_ref>& targets, time_point now);
    /// Waits for capacity and returns a replica's instance id. An error is `not_run` and final. `cancel` ends
    /// the wait.
    net::task_of<std::string> admit(policy::work item);
    /// Another replica for a request that was already sent; none without capacity or retry budget.
    std::optional<std::string> retry(const policy::work& item);
    /// Whether `retry` of a request that runs at this replica would find another one now.
    bool may_retry(const policy::work& item, const std::string& instance_id)
    {
        return scheduler_.may_retry(item, instance_id, steady::now());
    }
    /// Releases the capacity at a replica.
    void finish(const std::string& instance_id, const policy::attempt_report& report);
    void on_load(const std::string& instance_id, const policy::load_report& load);
    /// Cancels a waiting request whose client has disconnected.
    void cancel(std::uint64_t work_id);

    /// When the caller of a request that the replicas refused should return.
    milliseconds full_retry_after(const policy::work& item)
    {
        return scheduler_.full_retry_after(item, steady::now());
    }
    /// Time without a response after which to try another replica.
    duration hedge_delay() const { return scheduler_.pool().hedge_delay(); }

private:
    struct waiter {
        std::optional<result<std::string>> outcome;
    };
    policy::scheduler scheduler_;
    net::async_condition changed_;
    std::map<std::uint64_t, waiter> waiters_;

    void advance();
};

} // namespace vanillagauge::gateway

#endif
