/// One deployment's targets and the requests that wait for them, under one lock.
#ifndef VANILLAGAUGE_NODE_TARGET_GROUP_HPP
#define VANILLAGAUGE_NODE_TARGET_GROUP_HPP

#include "config/specs.hpp"
#include "policy/policy.hpp"
#include "wire/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::node {

class target_group : public std::enable_shared_from_this<target_group> {
public:
    /// A target's id and address. When returned for a request, a unit of the target's capacity is held;
    /// return it with `release`.
    struct endpoint {
        std::string id;
        std::string address;
    };
    /// Receives the target or a final error, which is `not_run`.
    using on_placed = std::function<void(result<endpoint>)>;

    /// Without a loop requests do not wait: without free capacity they are refused at once.
    target_group(config::deployment_spec spec, const policy::pool_options& options, wire::event_loop* loop);

    // Callbacks run outside the lock, on the thread that freed capacity or on the loop's.
    void update(const config::deployment_spec& spec);
    /// Calls `completion` once: now, when the request is placed, or when its wait expires.
    void submit(policy::work item, on_placed completion);
    /// Another target for a request that was already sent; uses the retry budget and never waits.
    std::optional<endpoint> retry(const policy::work& item);
    /// A target for work with a queue of its own; empty where no target outside `tried` has free capacity.
    std::optional<endpoint> acquire(const std::string& near_domain, const std::set<std::string>& tried);
    void release(const std::string& target_id, const policy::attempt_report& report = {});
    void on_report(const std::string& target_id, const policy::load_report& report);

    config::target_kind kind() const;
    milliseconds default_deadline() const;
    /// The next `count` targets in turn, to poll for load reports. Holds no capacity.
    std::vector<endpoint> next_to_poll(std::size_t count);
    /// How long to wait for an answer before the request is also sent to another target.
    milliseconds hedge_delay() const;
    /// False for the baseline policy, which retries without limit and never hedges.
    bool limited() const { return options_.limited; }
    /// Requests in flight at targets or waiting for them.
    std::size_t outstanding_requests() const;

private:
    struct notification {
        on_placed completion;
        result<endpoint> outcome;
    };

    const policy::pool_options options_;
    wire::event_loop* const loop_;
    mutable std::mutex mutex_;
    config::deployment_spec spec_;
    std::map<std::string, std::string> addresses_;
    policy::scheduler scheduler_;
    std::map<std::uint64_t, on_placed> waiting_;
    std::uint64_t next_id_ = 1;
    std::size_t next_poll_ = 0;
    bool timer_armed_ = false;

    void update_targets();
    result<endpoint> endpoint_of(const policy::placed& placed) const;
    std::vector<notification> advance();
    void arm_timer();
    static void notify(std::vector<notification> notifications);
};

} // namespace vanillagauge::node

#endif
