#include "rollout/ownership.hpp"

#include "fleet/rendezvous.hpp"

#include <map>
#include <vector>

namespace vanillagauge::rollout {

std::optional<owner> owner_of(const node::view& view, const std::string& subject)
{
    std::map<std::string, std::string> addresses;
    std::vector<std::string> candidates;
    for (const auto& member : view.nodes) {
        if (member.state != fleet::member_state::alive || member.info.draining) {
            continue;
        }
        for (const auto& process : member.info.processes) {
            if (process.role == "rollout" && !process.draining) {
                candidates.push_back(member.info.vm);
                addresses[member.info.vm] = process.http_address;
            }
        }
    }
    const auto ranked = fleet::ranked_owners(subject, candidates);
    if (ranked.empty()) {
        return std::nullopt;
    }
    return owner{ranked.front(), addresses[ranked.front()]};
}

std::string job_key(const std::string& job)
{
    return "job/" + job;
}

std::string deployment_key(const std::string& deployment)
{
    return "deployment/" + deployment;
}

} // namespace vanillagauge::rollout
