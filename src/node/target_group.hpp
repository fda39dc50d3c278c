/// One deployment's targets and the requests that wait for them: a shard under its own lock.
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
    /// A place taken at a target; give it back with `release`.
    struct endpoint {
        std::string id;
        std::string address;
    };
    /// An error is final, and `not_run`.
    using on_placed = std::function<void(result<endpoint>)>;

    /// Without a loop nothing waits: what finds no room is refused at once.
    target_group(config::deployment_spec spec, const policy::pool_options& options, wire::event_loop* loop);

    // Commands. Callbacks run outside the lock, on the thread that made room or the loop's.
    void update(const config::deployment_spec& spec);
    /// Calls `ready` once, now or when the request's turn has come or it has waited as long as it may.
    void submit(policy::work item, on_placed completion);
    /// Another place for a request that has been sent already; takes from the retry budget and never waits.
    std::optional<endpoint> retry(const policy::work& item);
    /// A place for work that has a line of its own. None where no target that is not in `tried` has room.
    std::optional<endpoint> acquire(const std::string& near_domain, const std::set<std::string>& tried);
    void release(const std::string& target_id, const policy::attempt_report& report = {});
    void on_report(const std::string& target_id, const policy::load_report& report);

    // Queries.
    config::target_kind kind() const;
    milliseconds default_deadline() const;
    /// Some of the targets, others each time, for load reports.
    std::vector<endpoint> next_to_poll(std::size_t count);
    /// How long to wait for an answer before another target is asked as well.
    milliseconds hedge_delay() const;
    /// The plain baseline retries without end and never hedges.
    bool limited() const { return options_.limited; }
    /// In flight at targets and waiting for them.
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
