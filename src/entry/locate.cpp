#include "entry/locate.hpp"

#include "base/digest.hpp"
#include "claims/claims.hpp"

#include <algorithm>
#include <random>

namespace vanillagauge::entry {
namespace {

constexpr std::size_t most_addresses = 4;
constexpr milliseconds longest_advice{5000};
/// Until every entry knows that another stops: at 350 nodes the news takes up to 0.9 s
/// (docs/measurements.md).
constexpr milliseconds news_time{1000};

struct front {
    fleet::node node;
    fleet::process process;
};

std::uint64_t nonce()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    return random();
}

std::vector<front> entries_of(const fleet::member& member)
{
    std::vector<front> fronts;
    for (const auto& process : member.info.processes) {
        if (process.role == "entry" && !process.draining && !member.info.draining) {
            fronts.push_back({member.info, process});
        }
    }
    return fronts;
}

std::vector<front> usable_fronts(const node::view& view)
{
    std::vector<front> fronts;
    for (const auto& member : view.nodes) {
        if (member.state == fleet::member_state::alive) {
            const auto found = entries_of(member);
            fronts.insert(fronts.end(), found.begin(), found.end());
        }
    }
    return fronts;
}

// Sorted by load alone all callers of a domain would go to the one entry that looked idle when it last told.
// Loads are announced in steps, and entries of one step share the callers by hash, so that a caller also
// keeps its entry from one answer to the next.
void sort_fronts(std::vector<front>& fronts, const locate_question& question)
{
    // A caller without a name gets another order with each answer.
    const auto seed = question.caller.empty() ? nonce() : hash64(question.caller);
    const auto rank = [&question, seed](const front& item) {
        const bool far = item.node.failure_domain != question.near_domain;
        const auto turn = hash64(item.node.vm, seed);
        return std::make_tuple(far, item.process.load, turn);
    };
    std::sort(fronts.begin(), fronts.end(),
              [&rank](const front& left, const front& right) { return rank(left) < rank(right); });
}

// A node that lost all or most of its peers at once is more likely cut off than alone. Its callers would get
// advice that holds few others, so for a while the lost ones come first, whom callers may still reach, and
// itself last. Where the others are gone indeed, callers find it at the end of the list.
std::vector<front> lost_fronts(const node::view& view, const std::string& own_vm, time_point now)
{
    std::vector<front> fronts;
    for (const auto& member : view.nodes) {
        if (member.info.vm == own_vm) {
            continue;
        }
        if (member.state == fleet::member_state::alive) {
            if (!view.isolated) {
                return {};
            }
            continue;
        }
        const bool lost_lately =
            member.state != fleet::member_state::left && now - member.since < seconds{60};
        if (lost_lately) {
            const auto found = entries_of(member);
            fronts.insert(fronts.end(), found.begin(), found.end());
        }
    }
    return fronts;
}

void put_last(const std::string& vm, std::vector<front>& fronts)
{
    std::stable_partition(fronts.begin(), fronts.end(),
                          [&vm](const front& item) { return item.node.vm != vm; });
}

void add_addresses(const std::vector<front>& fronts, std::size_t most, std::vector<std::string>& into)
{
    for (std::size_t place = 0; place < std::min(fronts.size(), most); ++place) {
        into.push_back(fronts[place].process.http_address);
    }
}

claims::incarnation identity(const front& item)
{
    return {item.node.vm, item.process.incarnation};
}

} // namespace

// Advice that outlives a stopping process leads callers to a closed port: with 5 s of advice and 1 s of drain
// time 301 of 1625 calls met one in a rolling replacement. So the advice follows from the setting.
milliseconds advice_life(milliseconds drain_time)
{
    return std::clamp(drain_time - news_time, milliseconds{0}, longest_advice);
}

result<location> locate(const node::view& view, const locate_question& question)
{
    auto fronts = usable_fronts(view);
    if (fronts.empty()) {
        return error{error_code::unavailable, run_state::not_run, "no entry process is known to be alive",
                     milliseconds{1000}};
    }
    sort_fronts(fronts, question);
    auto lost = lost_fronts(view, question.own_vm, question.now);
    sort_fronts(lost, question);
    if (view.isolated) {
        put_last(question.own_vm, fronts);
    }
    location found;
    add_addresses(lost, most_addresses - 1, found.addresses);
    add_addresses(fronts, most_addresses - found.addresses.size(), found.addresses);
    const auto& primary = fronts.front();
    const auto other_domain = std::find_if(fronts.begin(), fronts.end(), [&primary](const front& item) {
        return item.node.failure_domain != primary.node.failure_domain;
    });
    const auto& backup = other_domain != fronts.end() ? *other_domain : fronts.back();
    // No key is minted by a node that is cut off: its pairs could not record a claim, or not hand out the
    // answer.
    if (backup.node.vm != primary.node.vm && !view.isolated) {
        const auto expires = question.wall_ms + key_life.count();
        found.key_prefix = claims::format_prefix({identity(primary), identity(backup)}, expires, nonce());
    }
    return found;
}

} // namespace vanillagauge::entry
