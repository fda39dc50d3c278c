/// vg-policy-benchmark: time of one admission and placement, with its release, by the size of the fleet.

#include "policy/policy.hpp"

#include <benchmark/benchmark.h>

namespace {

using namespace vanillagauge;

policy::scheduler filled(std::int64_t targets)
{
    policy::scheduler decisions(1, {});
    std::vector<policy::pool_target> pool;
    pool.reserve(static_cast<std::size_t>(targets));
    for (std::int64_t index = 0; index < targets; ++index) {
        pool.push_back({"target-" + std::to_string(index), "domain-" + std::to_string(index % 4), false});
    }
    decisions.update(pool, steady::now());
    return decisions;
}

policy::work request(std::uint64_t id, std::uint64_t prefix)
{
    policy::work item;
    item.id = id;
    item.caller = "caller-" + std::to_string(id % 50);
    item.near_domain = "domain-1";
    item.prefix = prefix;
    item.deadline = steady::now() + seconds{1};
    return item;
}

/// A third of the fleet's capacity is in use, a usual load.
void admit_and_place(benchmark::State& state, bool with_prefix)
{
    auto decisions = filled(state.range(0));
    std::uint64_t id = 0;
    for (std::int64_t index = 0; index < state.range(0) * 5; ++index) {
        decisions.submit(request(++id, 0), steady::now());
    }
    for (auto _ : state) {
        const auto now = steady::now();
        const std::uint64_t prefix = with_prefix ? hash64("prompt", ++id % 200) : 0;
        const auto decided = decisions.submit(request(++id, prefix), now);
        if (const auto* taken = std::get_if<policy::placed>(&decided)) {
            decisions.finish(taken->target, {policy::attempt_result::answered, milliseconds{10}}, now);
        }
        benchmark::DoNotOptimize(decisions.advance(now));
    }
}

/// The fleet is full: the request passes through the queue.
void queue_and_place(benchmark::State& state)
{
    auto decisions = filled(state.range(0));
    std::vector<std::string> taken;
    std::uint64_t id = 0;
    while (true) {
        const auto decided = decisions.submit(request(++id, 0), steady::now());
        const auto* place = std::get_if<policy::placed>(&decided);
        if (place == nullptr) {
            break;
        }
        taken.push_back(place->target);
    }
    std::size_t next = 0;
    for (auto _ : state) {
        const auto now = steady::now();
        decisions.submit(request(++id, 0), now);
        decisions.finish(taken[next], {policy::attempt_result::answered, milliseconds{10}}, now);
        const auto found = decisions.advance(now);
        if (!found.started.empty()) {
            taken[next] = found.started.front().target;
        }
        next = (next + 1) % taken.size();
    }
}

void without_prefix(benchmark::State& state)
{
    admit_and_place(state, false);
}

void with_prefix(benchmark::State& state)
{
    admit_and_place(state, true);
}

BENCHMARK(without_prefix)->Arg(20)->Arg(6500);
BENCHMARK(with_prefix)->Arg(20)->Arg(6500);
BENCHMARK(queue_and_place)->Arg(20)->Arg(6500);

} // namespace

BENCHMARK_MAIN();
