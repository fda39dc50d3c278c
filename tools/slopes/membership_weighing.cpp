/// Compares three failure detectors at 8 and 350 nodes, simulating the fleet in this process.
/// Prints one JSON object.

#include "fleet_simulation.hpp"
#include "membership_ways.hpp"

#include <algorithm>
#include <cstdio>
#include <string>

namespace {

using namespace vanillagauge;

constexpr milliseconds settle{3000};
constexpr milliseconds span{20000};
constexpr milliseconds max_wait{60000};
constexpr std::size_t trials = 5;
constexpr std::uint64_t config_trials = 20;

/// 20 times the mean of a day with 2,300 restarts at 350 nodes: restarts come in bursts.
constexpr double restarts_per_node_and_second = 20 * 2300.0 / 350 / 86400;

milliseconds detect(std::size_t nodes, std::size_t domains, std::uint64_t seed, bool gets_no_work_only)
{
    fleet::fleet_simulation loop(nodes, domains, seed * 1000);
    loop.run(settle + milliseconds{static_cast<std::int64_t>(seed) * 70});
    const auto victim = fleet::fleet_simulation::vm_at(seed % nodes);
    loop.at(victim).running = false;
    return loop.run_until(
        [&] {
            if (!gets_no_work_only) {
                return loop.all_see(victim, fleet::member_state::dead);
            }
            for (auto& [vm, one] : loop.machines()) {
                if (one.running && loop.seen(vm, victim) == fleet::member_state::alive) {
                    return false;
                }
            }
            return true;
        },
        max_wait);
}

struct probe_figures {
    slopes::protocol_figures common;
    milliseconds no_work_mean{0}; ///< until no node reports the victim alive
    milliseconds no_work_max{0};
    double compared_bytes_per_second = 0;
};

probe_figures probing(std::size_t nodes, std::size_t domains, bool with_restarts)
{
    fleet::fleet_simulation loop(nodes, domains);
    loop.run(settle);
    for (auto& [vm, one] : loop.machines()) {
        one.sent = one.sent_bytes = one.compared_bytes = 0;
    }
    const auto started = steady::now();
    double due = 0;
    std::size_t turn = 0;
    for (milliseconds run{0}; run < span; run += milliseconds{1000}) {
        loop.run(milliseconds{1000});
        due += with_restarts ? restarts_per_node_and_second * static_cast<double>(nodes) : 0;
        for (; due >= 1; due -= 1) {
            const auto vm = fleet::fleet_simulation::vm_at(++turn % nodes);
            const auto domain = loop.at(vm).detector->view().self().failure_domain;
            loop.start(vm, domain, turn + 1);
            loop.join(vm, fleet::fleet_simulation::vm_at((turn + 1) % nodes));
        }
    }
    const std::chrono::duration<double, std::micro> used = steady::now() - started;
    const double seconds_run = std::chrono::duration<double>(span).count();
    const auto count = static_cast<double>(nodes);
    probe_figures found;
    for (const auto& [vm, one] : loop.machines()) {
        const auto bytes = static_cast<double>(one.sent_bytes) / seconds_run;
        found.common.messages_per_second += static_cast<double>(one.sent) / seconds_run / count;
        found.common.bytes_per_second += bytes / count;
        found.common.max_bytes_per_second = std::max(found.common.max_bytes_per_second, bytes);
        found.compared_bytes_per_second += static_cast<double>(one.compared_bytes) / seconds_run / count;
    }
    found.common.processor_us_per_second = used.count() / count / seconds_run;
    for (std::size_t trial = 1; trial <= trials; ++trial) {
        const auto dead = detect(nodes, domains, trial, false);
        const auto no_work = detect(nodes, domains, trial, true);
        found.common.detected_mean += dead / trials;
        found.common.detected_max = std::max(found.common.detected_max, dead);
        found.no_work_mean += no_work / trials;
        found.no_work_max = std::max(found.no_work_max, no_work);
    }
    found.common.key_node_detected = found.common.detected_max;
    return found;
}

/// Time from a change accepted on one node until every node has pulled it: the median and the longest of the
/// trials.
std::pair<milliseconds, milliseconds> config_everywhere(std::size_t nodes, std::size_t domains)
{
    fleet::fleet_simulation loop(nodes, domains);
    loop.run(settle);
    std::vector<milliseconds> took;
    for (std::uint64_t version = 1; version <= config_trials; ++version) {
        loop.set_config(loop.at(fleet::fleet_simulation::vm_at(version % nodes)), version);
        took.push_back(loop.run_until(
            [&] {
                return std::all_of(
                    loop.machines().begin(), loop.machines().end(),
                    [version](const auto& entry) { return entry.second.config_version >= version; });
            },
            max_wait));
        loop.run(milliseconds{2000});
    }
    std::sort(took.begin(), took.end());
    return {took[took.size() / 2], took.back()};
}

void print(const char* way, std::size_t nodes, const slopes::protocol_figures& found, const std::string& more,
           bool last)
{
    std::printf(
        "  {\"way\":\"%s\",\"nodes\":%zu,\"messages_per_second\":%.1f,\"bytes_per_second\":%.0f,"
        "\"most_bytes_per_second\":%.0f,\"processor_us_per_second\":%.0f,\"dead_everywhere_mean_ms\":%lld,"
        "\"dead_everywhere_most_ms\":%lld,\"head_dead_everywhere_ms\":%lld%s}%s\n",
        way, nodes, found.messages_per_second, found.bytes_per_second, found.max_bytes_per_second,
        found.processor_us_per_second, static_cast<long long>(found.detected_mean.count()),
        static_cast<long long>(found.detected_max.count()),
        static_cast<long long>(found.key_node_detected.count()), more.c_str(), last ? "" : ",");
}

std::string extra(const probe_figures& found)
{
    return ",\"not_alive_everywhere_mean_ms\":" + std::to_string(found.no_work_mean.count()) +
           ",\"not_alive_everywhere_most_ms\":" + std::to_string(found.no_work_max.count()) +
           ",\"compared_bytes_per_second\":" +
           std::to_string(static_cast<long long>(found.compared_bytes_per_second));
}

} // namespace

int main()
{
    struct fleet_size {
        std::size_t nodes;
        std::size_t domains;
    };
    std::printf("{\"membership\":[\n");
    for (const auto& [nodes, domains] : {fleet_size{8, 4}, fleet_size{350, 7}}) {
        print("direct_heartbeats", nodes, slopes::direct_heartbeats(nodes), "", false);
        print("domain_tree", nodes, slopes::domain_tree(nodes, domains), "", false);
        const auto calm = probing(nodes, domains, false);
        print("probes", nodes, calm.common, extra(calm), false);
        const auto busy = probing(nodes, domains, true);
        print("probes_with_restarts", nodes, busy.common, extra(busy), nodes == 350);
    }
    std::printf("],\"config_spread\":[\n");
    for (const auto& [nodes, domains] : {fleet_size{8, 4}, fleet_size{350, 7}}) {
        const auto [median, most] = config_everywhere(nodes, domains);
        std::printf("  {\"nodes\":%zu,\"p50_ms\":%lld,\"most_ms\":%lld}%s\n", nodes,
                    static_cast<long long>(median.count()), static_cast<long long>(most.count()),
                    nodes == 350 ? "" : ",");
    }
    std::printf("]}\n");
    return 0;
}
