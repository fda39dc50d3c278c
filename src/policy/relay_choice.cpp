#include "policy/relay_choice.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Two hubs and one gateway that uses them.
constexpr std::size_t min_gateways = 3;

/// Longer than the fleet needs to notice that a gateway is lost, which then is no longer a candidate.
constexpr milliseconds exclusion_time{3000};

} // namespace

// Load pattern: a failure domain that is lost or cut off takes one hub at most.
std::vector<std::string> choose_hubs(const std::vector<hub_candidate>& ranked)
{
    std::vector<std::string> hubs;
    if (ranked.empty()) {
        return hubs;
    }
    const auto& first = ranked.front();
    hubs.push_back(first.vm);
    auto second = std::find_if(ranked.begin() + 1, ranked.end(), [&first](const hub_candidate& candidate) {
        return candidate.failure_domain != first.failure_domain;
    });
    if (second == ranked.end()) {
        second = ranked.begin() + 1;
    }
    if (second != ranked.end()) {
        hubs.push_back(second->vm);
    }
    return hubs;
}

// Load pattern: 64 gateways with four replicas and twelve requests a second. Each pair sees a request in 20
// s, longer than a replica keeps an idle connection, so nearly every request would open one. Through two hubs
// each connection carries a request in less than a second.
std::optional<std::string> relay_choice::choose(const relay_situation& known, time_point now) const
{
    if (known.gateways < min_gateways || known.gateways * known.replicas <= max_direct_pairs_) {
        return std::nullopt;
    }
    auto hubs = choose_hubs(known.ranked);
    if (std::find(hubs.begin(), hubs.end(), self_) != hubs.end()) {
        return std::nullopt;
    }
    std::erase_if(hubs, [this, now](const std::string& hub) {
        const auto found = excluded_until_.find(hub);
        return found != excluded_until_.end() && now < found->second;
    });
    if (hubs.empty()) {
        return std::nullopt;
    }
    // Half of the gateways use each hub. A gateway keeps to one, so that its connection there stays in use.
    return hubs[hash64(self_) % hubs.size()];
}

void relay_choice::exclude(const std::string& hub, time_point now)
{
    std::erase_if(excluded_until_, [now](const auto& entry) { return entry.second <= now; });
    excluded_until_[hub] = now + exclusion_time;
}

} // namespace vanillagauge::policy
