#include "entry/locate.hpp"

#include "base/digest.hpp"
#include "claims/claims.hpp"

#include <algorithm>
#include <random>

namespace vanillagauge::entry {
namespace {

constexpr std::size_t most_addresses = 4;

struct front {
    fleet::node node;
    fleet::process process;
};

std::vector<front> usable_fronts(const node::view& view)
{
    std::vector<front> fronts;
    for (const auto& member : view.nodes) {
        if (member.state != fleet::member_state::alive || member.info.draining) {
            continue;
        }
        for (const auto& process : member.info.processes) {
            if (process.role == "entry" && !process.draining) {
                fronts.push_back({member.info, process});
            }
        }
    }
    return fronts;
}

/// Near ones first, then the less loaded. Equal ones come in an order drawn for each answer: with a fixed one
/// every caller of a quiet fleet would use the same process, and every key would lie with one claim pair.
void sort_fronts(std::vector<front>& fronts, const std::string& near_domain, std::uint64_t drawn)
{
    std::sort(fronts.begin(), fronts.end(), [&near_domain, drawn](const front& left, const front& right) {
        const bool left_far = left.node.failure_domain != near_domain;
        const bool right_far = right.node.failure_domain != near_domain;
        const auto left_place = hash64(left.node.vm, drawn);
        const auto right_place = hash64(right.node.vm, drawn);
        return std::tie(left_far, left.process.load, left_place) <
               std::tie(right_far, right.process.load, right_place);
    });
}

claims::incarnation identity(const front& item)
{
    return {item.node.vm, item.process.incarnation};
}

std::uint64_t nonce()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    return random();
}

} // namespace

result<location> locate(const node::view& view, const std::string& near_domain, std::int64_t wall_ms)
{
    auto fronts = usable_fronts(view);
    if (fronts.empty()) {
        return error{error_code::unavailable, run_state::not_run, "no entry process is known to be alive",
                     milliseconds{1000}};
    }
    const auto drawn = nonce();
    sort_fronts(fronts, near_domain, drawn);
    location found;
    for (std::size_t place = 0; place < std::min(fronts.size(), most_addresses); ++place) {
        found.addresses.push_back(fronts[place].process.http_address);
    }
    const auto& home = fronts.front();
    const auto other_domain = std::find_if(fronts.begin(), fronts.end(), [&home](const front& item) {
        return item.node.failure_domain != home.node.failure_domain;
    });
    const auto& backup = other_domain != fronts.end() ? *other_domain : fronts.back();
    if (backup.node.vm != home.node.vm) {
        const auto expires = wall_ms + key_life.count();
        found.key_prefix = claims::format_prefix({identity(home), identity(backup)}, expires, drawn);
    }
    return found;
}

} // namespace vanillagauge::entry
