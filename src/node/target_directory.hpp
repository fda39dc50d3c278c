/// The targets of each deployment, with what this process has in flight at each.
#ifndef VANILLAGAUGE_NODE_TARGET_DIRECTORY_HPP
#define VANILLAGAUGE_NODE_TARGET_DIRECTORY_HPP

#include "config/specs.hpp"
#include "node/keeper_link.hpp"
#include "policy/policy.hpp"

#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::node {

/// One deployment's shard, under its own lock.
class target_group {
public:
    explicit target_group(config::deployment_spec spec) : spec_(std::move(spec)) {}

    /// A place taken at a target; give it back with `release`.
    struct slot {
        std::string id;
        std::string address;
    };

    // Commands.
    void update(const config::deployment_spec& spec);
    /// None where every target that is not in `tried` is full or leaving.
    std::optional<slot> acquire(const std::string& near_domain, const std::set<std::string>& tried);
    void release(const std::string& target_id);

    // Queries.
    config::target_kind kind() const;
    milliseconds default_deadline() const;

private:
    mutable std::mutex mutex_;
    config::deployment_spec spec_;
    std::map<std::string, int> in_flight_;
    std::mt19937_64 random_{std::random_device{}()};
};

class target_directory {
public:
    /// Takes over the deployments of a new view.
    void update(const view& view);
    /// Null where there is no such deployment.
    std::shared_ptr<target_group> find(const std::string& deployment) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<target_group>> groups_;
};

} // namespace vanillagauge::node

#endif
