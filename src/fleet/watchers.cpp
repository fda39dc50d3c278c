#include "fleet/watchers.hpp"

#include "fleet/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace vanillagauge::fleet {
namespace {

constexpr const char* task = "watch the store";

void choose(const std::vector<std::string>& ranked, const std::map<std::string, std::string>& domains,
            std::size_t count, std::vector<std::string>& chosen)
{
    std::set<std::string> used;
    for (const auto& vm : chosen) {
        used.insert(domains.at(vm));
    }
    for (const bool other_domain_only : {true, false}) {
        for (const auto& vm : ranked) {
            const bool already_chosen = std::find(chosen.begin(), chosen.end(), vm) != chosen.end();
            if (chosen.size() >= count || already_chosen ||
                (other_domain_only && used.contains(domains.at(vm)))) {
                continue;
            }
            chosen.push_back(vm);
            used.insert(domains.at(vm));
        }
    }
}

} // namespace

// Each VM selects from its own view, so in a partition each side has watchers of its own. While views differ
// there may be a few watches more or fewer, which is harmless.
std::vector<std::string> choose_watchers(const std::vector<member>& members, std::size_t count)
{
    std::map<std::string, std::string> domains;
    std::vector<std::string> working;
    std::vector<std::string> failing;
    for (const auto& entry : members) {
        if (entry.state == member_state::alive && !entry.info.draining) {
            domains[entry.info.vm] = entry.info.failure_domain;
            (entry.info.watch_failing ? failing : working).push_back(entry.info.vm);
        }
    }
    std::vector<std::string> chosen;
    choose(ranked_owners(task, working), domains, count, chosen);
    // One working watch is enough while the others recover; without any, the failing ones keep trying.
    if (chosen.empty()) {
        choose(ranked_owners(task, failing), domains, count, chosen);
    }
    return chosen;
}

} // namespace vanillagauge::fleet
