/// Admission to the replicas of one service: tasks wait here until a replica has room or they are turned
/// away.
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
                    policy::wait_policy patience);

    /// Takes the service's present replicas.
    void update(const std::vector<target_ref>& targets, time_point now);
    /// Waits for a place. An error is `not_run` and final. `withdraw` may end the wait before.
    net::task_of<std::string> admit(policy::work item);
    /// Another replica for a request that was sent before; none where none has room or the budget is spent.
    std::optional<std::string> retry(const policy::work& item);
    /// Gives the place at a replica back.
    void finish(const std::string& instance_id, const policy::attempt_report& report);
    void on_load(const std::string& instance_id, const policy::load_report& load);
    /// The client of a waiting request has gone.
    void cancel(std::uint64_t work_id);

    /// How long to wait for an answer before another replica is asked.
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
