/// Selects the rollout process that owns a job, or a deployment's weights, in a view.
#ifndef VANILLAGAUGE_ROLLOUT_OWNERSHIP_HPP
#define VANILLAGAUGE_ROLLOUT_OWNERSHIP_HPP

#include "node/keeper_link.hpp"

#include <optional>
#include <string>

namespace vanillagauge::rollout {

struct owner {
    std::string vm;
    std::string http_address;
};

/// Empty where no rollout process is alive and accepts work.
std::optional<owner> owner_of(const node::view& view, const std::string& subject);

std::string job_key(const std::string& job);
std::string deployment_key(const std::string& deployment);

} // namespace vanillagauge::rollout

#endif
