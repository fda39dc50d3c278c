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

// A node that lost all of its peers at once is more likely cut off than alone. Its callers would get advice
// that holds nobody else, so for a while the others come first, whom callers may still reach, and itself
// last. Where the others are gone indeed, callers find it at the end of the list.
std::vector<front> lost_fronts(const node::view& view, const std::string& own_vm, time_point now)
{
    std::vector<front> fronts;
    for (const auto& member : view.nodes) {
        if (member.info.vm == own_vm) {
            continue;
        }
        if (member.state == fleet::member_state::alive) {
            return {};
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
    location found;
    add_addresses(lost, most_addresses - 1, found.addresses);
    add_addresses(fronts, most_addresses - found.addresses.size(), found.addresses);
    const auto& home = fronts.front();
    const auto other_domain = std::find_if(fronts.begin(), fronts.end(), [&home](const front& item) {
        return item.node.failure_domain != home.node.failure_domain;
    });
    const auto& backup = other_domain != fronts.end() ? *other_domain : fronts.back();
    if (backup.node.vm != home.node.vm) {
        const auto expires = question.wall_ms + key_life.count();
        found.key_prefix = claims::format_prefix({identity(home), identity(backup)}, expires, nonce());
    }
    return found;
}

} // namespace vanillagauge::entry
