/// The targets of each deployment, with this process's requests in flight at each.
#ifndef VANILLAGAUGE_NODE_TARGET_DIRECTORY_HPP
#define VANILLAGAUGE_NODE_TARGET_DIRECTORY_HPP

#include "node/channel_pool.hpp"
#include "node/keeper_link.hpp"
#include "node/shared_quarantine.hpp"
#include "node/target_group.hpp"

#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace vanillagauge::node {

class target_directory {
public:
    /// For work with queues of its own: requests never wait for a target here.
    target_directory();
    /// Requests may wait; the loop must outlive the directory's groups.
    target_directory(wire::event_loop& loop, const policy::pool_options& options);

    /// Applies the deployments of a new view.
    void update(const view& view);
    /// Starts to poll targets for their load periodically, a few of each deployment at a time.
    void poll_loads(channel_pool& targets);
    /// Null where the deployment does not exist.
    std::shared_ptr<target_group> find(const std::string& deployment) const;
    /// Requests in flight at targets or waiting for them, of all deployments.
    std::size_t outstanding_requests() const;
    shared_quarantine& quarantine() { return quarantine_; }

private:
    struct versioned_group {
        std::uint64_t version = 0; ///< of the deployment's object
        std::shared_ptr<target_group> group;
    };

    wire::event_loop* const loop_;
    const policy::pool_options options_;
    shared_quarantine quarantine_;
    mutable std::mutex mutex_;
    std::map<std::string, versioned_group> groups_;
    std::mt19937_64 random_{std::random_device{}()};

    versioned_group updated_group(const config::object& item, const versioned_group& current) const;
    void poll_round(channel_pool& targets);
    std::vector<std::shared_ptr<target_group>> groups() const;
};

} // namespace vanillagauge::node

#endif
