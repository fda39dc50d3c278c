#include "policy/engine_ledger.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace vanillagauge::policy {
namespace {

/// Far more than one engine runs; keeps sums of untrusted counts from overflowing.
constexpr int max_streams = 100'000;
constexpr double max_events = 1e9;

bool is_sound(const engine_use& use)
{
    return !use.engine.empty() && use.streams >= 0 && use.streams <= max_streams &&
           std::isfinite(use.events_left) && use.events_left >= 0 && use.events_left <= max_events;
}

bool is_sound(const engine_load& load)
{
    return !load.engine.empty() && load.left >= milliseconds{0} && load.left <= max_load_left;
}

bool is_sound(const engine_report& report)
{
    const auto sound = [](const auto& entry) { return is_sound(entry); };
    return !report.vm.empty() && std::all_of(report.uses.begin(), report.uses.end(), sound) &&
           std::all_of(report.loads.begin(), report.loads.end(), sound);
}

} // namespace

// Load pattern: three owners place the items of their steps at the same engines within the same 100 ms, and
// requests that exceed an engine's slots and queue are rejected and repeated. Each report is complete, so a
// lost, late or doubled message costs at most the time until the next one.
result<done> engine_ledger::apply(const engine_report& report, time_point now)
{
    if (!is_sound(report)) {
        return error{error_code::invalid_argument, run_state::not_run,
                     "engine report with a value out of range"};
    }
    const auto found = reports_.find(report.vm);
    const bool known =
        found != reports_.end() && std::pair(report.incarnation, report.sequence) <=
                                       std::pair(found->second.incarnation, found->second.sequence);
    if (known || report.vm == self_) {
        return error{error_code::conflict, run_state::not_run,
                     "engine report older than one from " + report.vm + " that was applied"};
    }
    held_report held{report.incarnation, report.sequence, now, {}, report.loads};
    for (const auto& use : report.uses) {
        held.uses[use.engine] = use;
    }
    reports_[report.vm] = std::move(held);
    return done{};
}

void engine_ledger::observe_load(const std::string& engine, const load_report& load, int own_streams,
                                 time_point now)
{
    const int running = std::clamp(load.running, 0, max_streams);
    const int waiting = std::clamp(load.waiting, 0, max_streams);
    observations_[engine] = {std::max(0, running + waiting - own_streams), now};
}

void engine_ledger::set_expected_reporters(const std::set<std::string>& vms, time_point now)
{
    std::map<std::string, time_point> expected;
    for (const auto& vm : vms) {
        if (vm != self_) {
            const auto found = expected_since_.find(vm);
            expected[vm] = found == expected_since_.end() ? now : found->second;
        }
    }
    expected_since_ = std::move(expected);
}

void engine_ledger::expire(time_point now)
{
    std::erase_if(observations_, [&](const auto& entry) { return !entry.second.valid(now); });
    for (auto& [vm, held] : reports_) {
        if (!held.valid(now)) {
            held.uses.clear();
            held.loads.clear();
        }
    }
}

// Load pattern: callers' streams and the streams of an owner that has not reported yet also use the slots;
// only the engine counts them. Its report is a moment old and may miss requests on their way, so it never
// adds room to what the gateways report.
int engine_ledger::streams_elsewhere(const std::string& engine, time_point now) const
{
    int reported = 0;
    for (const auto& [vm, held] : reports_) {
        const auto use = held.uses.find(engine);
        if (held.valid(now) && use != held.uses.end()) {
            // Bounded: a sum over many reports must not overflow.
            reported = std::min(max_streams, reported + use->second.streams);
        }
    }
    const auto observed = observations_.find(engine);
    const bool recent = observed != observations_.end() && observed->second.valid(now);
    return recent ? std::max(reported, observed->second.elsewhere) : reported;
}

double engine_ledger::events_elsewhere(const std::string& engine, time_point now) const
{
    double events = 0;
    for (const auto& [vm, held] : reports_) {
        const auto use = held.uses.find(engine);
        if (held.valid(now) && use != held.uses.end()) {
            events += use->second.events_left;
        }
    }
    return events;
}

// Load pattern: an engine rejects its model's requests for the 0.9 s of a load, and a fifth of the engines
// load at the moment at which a step is submitted. A holder of the lease that ends during a load reports no
// end, so the stated time bounds it.
bool engine_ledger::is_loading(const std::string& engine, const std::string& model, time_point now) const
{
    return std::any_of(reports_.begin(), reports_.end(), [&](const auto& entry) {
        const auto& held = entry.second;
        return std::any_of(held.loads.begin(), held.loads.end(), [&](const engine_load& load) {
            return load.engine == engine && load.model == model && held.in_progress(load, now);
        });
    });
}

std::size_t engine_ledger::engines_loading_elsewhere(time_point now) const
{
    std::set<std::string> loading;
    for (const auto& [vm, held] : reports_) {
        for (const auto& load : held.loads) {
            if (held.in_progress(load, now)) {
                loading.insert(load.engine);
            }
        }
    }
    return loading.size();
}

// A gateway whose batch has just been accepted needs time for its first report, and this gateway may have
// just begun to exchange reports with it.
std::set<std::string> engine_ledger::silent_reporters(time_point now) const
{
    std::set<std::string> silent;
    for (const auto& [vm, since] : expected_since_) {
        const auto found = reports_.find(vm);
        const bool heard = found != reports_.end() && found->second.valid(now);
        if (!heard && now - since >= report_validity) {
            silent.insert(vm);
        }
    }
    return silent;
}

// Load pattern: two owners are cut off from each other, but not from the engines, for some seconds. Equal
// shares keep them from exceeding the slots together; one slot each lets a batch go on in any case.
int engine_ledger::usable_slots(int slots, time_point now) const
{
    const auto silent = static_cast<int>(silent_reporters(now).size());
    return silent == 0 ? slots : std::max(1, slots / (1 + silent));
}

int engine_ledger::free_places(const std::string& engine, int slots, int own_streams, time_point now) const
{
    const int own = std::max(0, own_streams);
    const int room = slots - streams_elsewhere(engine, now);
    return std::max(0, std::min(room, usable_slots(slots, now)) - own);
}

} // namespace vanillagauge::policy
