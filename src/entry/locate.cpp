#include "entry/locate.hpp"

#include "base/digest.hpp"
#include "claims/claims.hpp"

#include <algorithm>
#include <random>

namespace vanillagauge::entry {
namespace {

constexpr std::size_t max_addresses = 4;
constexpr milliseconds max_advice_ttl{5000};
/// Until every entry has learnt that another is stopping: gossip among 350 nodes takes up to 0.9 s
/// (docs/measurements.md).
constexpr milliseconds propagation_time{1000};

struct entry_process {
    fleet::node node;
    fleet::process process;
};

std::uint64_t nonce()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    return random();
}

std::vector<entry_process> entries_of(const fleet::member& member)
{
    std::vector<entry_process> entries;
    for (const auto& process : member.info.processes) {
        if (process.role == "entry" && !process.draining && !member.info.draining) {
            entries.push_back({member.info, process});
        }
    }
    return entries;
}

std::vector<entry_process> usable_entries(const node::view& view)
{
    std::vector<entry_process> entries;
    for (const auto& member : view.nodes) {
        if (member.state == fleet::member_state::alive) {
            const auto found = entries_of(member);
            entries.insert(entries.end(), found.begin(), found.end());
        }
    }
    return entries;
}

// Sorting by exact load would send all callers of a domain to the entry that announced the lowest load.
// Entries with the same load step share the callers by hash instead, so a caller also keeps its entry from
// one answer to the next.
void sort_entries(std::vector<entry_process>& entries, const locate_query& query)
{
    // Anonymous callers get a random order.
    const auto seed = query.caller.empty() ? nonce() : hash64(query.caller);
    const auto rank = [&query, seed](const entry_process& item) {
        const bool far = item.node.failure_domain != query.near_domain;
        const auto tie_break = hash64(item.node.vm, seed);
        return std::make_tuple(far, item.process.load, tie_break);
    };
    std::sort(entries.begin(), entries.end(), [&rank](const entry_process& left, const entry_process& right) {
        return rank(left) < rank(right);
    });
}

// A node that lost all or most of its peers at once is probably partitioned. Callers may still reach the lost
// entries, so for a while these come first and the node itself last, where callers find it if the others
// have really failed.
std::vector<entry_process> lost_entries(const node::view& view, const std::string& own_vm, time_point now)
{
    std::vector<entry_process> entries;
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
        const bool recently_lost =
            member.state != fleet::member_state::left && now - member.since < seconds{60};
        if (recently_lost) {
            const auto found = entries_of(member);
            entries.insert(entries.end(), found.begin(), found.end());
        }
    }
    return entries;
}

void move_to_end(const std::string& vm, std::vector<entry_process>& entries)
{
    std::stable_partition(entries.begin(), entries.end(),
                          [&vm](const entry_process& item) { return item.node.vm != vm; });
}

void add_addresses(const std::vector<entry_process>& entries, std::size_t max_count,
                   std::vector<std::string>& into)
{
    for (std::size_t index = 0; index < std::min(entries.size(), max_count); ++index) {
        into.push_back(entries[index].process.http_address);
    }
}

claims::incarnation incarnation_of(const entry_process& item)
{
    return {item.node.vm, item.process.incarnation};
}

} // namespace

// Advice that outlives a stopping process sends callers to a closed port during a rolling replacement, so its
// lifetime is derived from the drain time. With 5 s of advice and 1 s of drain time 301 of 1,625 calls met a
// closed port.
milliseconds advice_ttl(milliseconds drain_time)
{
    return std::clamp(drain_time - propagation_time, milliseconds{0}, max_advice_ttl);
}

result<location> locate(const node::view& view, const locate_query& query)
{
    auto entries = usable_entries(view);
    if (entries.empty()) {
        return error{error_code::unavailable, run_state::not_run, "no entry process is known to be alive",
                     milliseconds{1000}};
    }
    sort_entries(entries, query);
    auto lost = lost_entries(view, query.own_vm, query.now);
    sort_entries(lost, query);
    if (view.isolated) {
        move_to_end(query.own_vm, entries);
    }
    location found;
    add_addresses(lost, max_addresses - 1, found.addresses);
    add_addresses(entries, max_addresses - found.addresses.size(), found.addresses);
    const auto& primary = entries.front();
    const auto other_domain =
        std::find_if(entries.begin(), entries.end(), [&primary](const entry_process& item) {
            return item.node.failure_domain != primary.node.failure_domain;
        });
    const auto& backup = other_domain != entries.end() ? *other_domain : entries.back();
    // A partitioned node mints no keys: its pairs could not record a claim or return the answer.
    if (backup.node.vm != primary.node.vm && !view.isolated) {
        const auto expires = query.wall_ms + key_ttl.count();
        found.key_prefix =
            claims::format_prefix({incarnation_of(primary), incarnation_of(backup)}, expires, nonce());
    }
    return found;
}

} // namespace vanillagauge::entry
