// The gateway that runs a batch is killed, and the trainer ends the batch while another gateway takes it over
// and the store is silent for a moment. The end is acknowledged, but the batch's items run on.
#include "../batches.hpp"

#include <algorithm>
#include <optional>
#include <thread>

namespace {

using namespace review;

constexpr std::size_t items = 60;

// The deployment's bounds.
constexpr milliseconds cancel{3000};
constexpr milliseconds contact{3000};

constexpr milliseconds silence{60};          ///< of the store
constexpr milliseconds run_time{2500};       ///< before the gateway is killed
constexpr milliseconds takeover_time{15000}; ///< at most
constexpr milliseconds watch_time{14000};    ///< after the end's acknowledgement

struct run_start {
    std::string item;
    steady::time_point at;
};

/// What the replica saw, and the store's silence.
struct observed {
    std::mutex lock;
    std::condition_variable changed;
    std::vector<run_start> runs;
    std::optional<steady::time_point> silent_until; ///< none: it has not begun
};

} // namespace

int main(int argc, char** argv)
{
    const auto chosen = parse_options(argc, argv);
    recorder record(chosen.record);
    store objects(record);
    const auto wanted = make_batch(items);
    observed seen;
    std::atomic<bool> owner_killed{false};
    // The silence begins as the successor's read of the saved texts is due, and takes every answer then due.
    objects.loses_answer = [&](const store::call& made) {
        const bool texts = made.method == "GET" && made.kind == "batch-texts" && made.name == wanted.id;
        const std::lock_guard held(seen.lock);
        if (texts && owner_killed && !seen.silent_until) {
            seen.silent_until = steady::now() + silence;
            seen.changed.notify_all();
        }
        return seen.silent_until && steady::now() < *seen.silent_until;
    };
    const auto engine =
        std::make_shared<replica>(replica::traits{"i-1", "lm", "m", 4, 40, milliseconds(50)}, record);
    engine->on_run = [&](const std::string& item) {
        const std::lock_guard held(seen.lock);
        seen.runs.push_back({item, steady::now()});
    };
    objects.put("config", "main", rollout_configuration(1));
    keep_entries(objects, {engine});
    fleet gateways(chosen.program, chosen.folder, 3, objects.address(), record);
    std::vector<std::string> fronts;
    for (const auto& each : gateways.machines()) {
        if (!each.front.empty()) {
            fronts.push_back(each.front);
        }
    }
    if (!gateways.wait_until_ready(milliseconds(15000)) || !submit(wanted, fronts, record)) {
        gateways.finish(not_run);
    }
    std::this_thread::sleep_for(run_time);
    std::string ends_at = fronts.front();
    if (chosen.trouble) {
        const auto owner = objects.find("batches", wanted.id)["Specification"].value("owner", std::string{});
        for (auto& each : gateways.machines()) {
            if (each.node == owner) {
                owner_killed = true;
                gateways.kill(each);
            }
            else if (!each.front.empty()) {
                ends_at = each.front;
            }
        }
        std::unique_lock held(seen.lock);
        if (!seen.changed.wait_for(held, takeover_time, [&] { return seen.silent_until.has_value(); })) {
            record.line("no gateway read the texts of the batch: the case could not run");
            gateways.finish(not_run);
        }
        held.unlock();
        std::this_thread::sleep_for(silence + milliseconds(10));
    }
    if (!end_batch(ends_at, wanted.id, record)) {
        gateways.finish(not_run);
    }
    // Nothing is disturbed after the acknowledgement, so ContactMs later every machine is in touch. The rule
    // counts from CancelMs after the acknowledgement; both are granted here, one after the other.
    const auto judged_from = steady::now() + cancel + contact;
    std::this_thread::sleep_for(watch_time);
    const std::lock_guard held(seen.lock);
    const auto late = std::count_if(seen.runs.begin(), seen.runs.end(),
                                    [&](const run_start& run) { return run.at > judged_from; });
    record.line("UNASKED: items of the ended batch that began to run later than CancelMs + ContactMs after "
                "the acknowledgement of its end: " +
                std::to_string(late));
    gateways.finish(late > 0 ? rule_broken : rule_held);
}
