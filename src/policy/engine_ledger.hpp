/// Merges the gateways' reports about the engines. No network, no clock.
#ifndef VANILLAGAUGE_POLICY_ENGINE_LEDGER_HPP
#define VANILLAGAUGE_POLICY_ENGINE_LEDGER_HPP

#include "base/base.hpp"
#include "policy/load_hint.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::policy {

/// Streams of one gateway at one engine.
struct engine_use {
    std::string engine; ///< instance id
    int streams = 0;
    double events_left = 0; ///< of these streams together, as far as their lengths are known

    friend bool operator==(const engine_use&, const engine_use&) = default;
};

/// A load of weights that the reporting gateway has ordered.
struct engine_load {
    std::string engine; ///< instance id
    std::string model;
    std::uint64_t version = 0;
    milliseconds left{0}; ///< longest time until the load ends; 0: the engine has loaded the version

    friend bool operator==(const engine_load&, const engine_load&) = default;
};

/// All that one gateway reports; replaces its earlier reports.
struct engine_report {
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< increases with each report of a process
    std::vector<engine_use> uses;
    std::vector<engine_load> loads;

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

/// A report is used for this long after its receipt.
constexpr milliseconds report_validity{1500};
/// An engine's own load report is used for this long.
constexpr milliseconds observation_validity{300};
/// Longest time until the end of a load that a report may state.
constexpr milliseconds max_load_left{2000};

class engine_ledger {
public:
    /// `self` is the VM of this gateway, whose own streams are passed to the queries.
    explicit engine_ledger(std::string self) : self_(std::move(self)) {}

    /// Replaces the gateway's earlier report. `conflict` if a newer or the same one was applied, or if it is
    /// of this VM; `invalid_argument` for a negative or excessive count, a load time outside of
    /// [0, `max_load_left`] or an empty VM. Reports in error change nothing.
    result<done> apply(const engine_report& report, time_point now);
    /// An engine's own load report, while this gateway had `own_streams` streams there.
    void observe_load(const std::string& engine, const load_report& load, int own_streams, time_point now);
    /// The VMs that own open batches at the same engines, this one excepted.
    void set_expected_reporters(const std::set<std::string>& vms, time_point now);
    /// Drops what is no longer valid; keeps which report of each gateway was the newest.
    void expire(time_point now);

    /// Streams that others have at the engine.
    int streams_elsewhere(const std::string& engine, time_point now) const;
    /// Events that the reported streams of other gateways have left at the engine.
    double events_elsewhere(const std::string& engine, time_point now) const;
    /// Whether the engine is loading weights of the model by the order of another gateway.
    bool is_loading(const std::string& engine, const std::string& model, time_point now) const;
    /// Engines that load weights by the order of another gateway.
    std::size_t engines_loading_elsewhere(time_point now) const;
    /// Expected reporters without a valid report that have been expected for `report_validity`.
    std::set<std::string> silent_reporters(time_point now) const;
    /// The slots of an engine that this gateway may use: all, or its fair share while reporters are silent.
    int usable_slots(int slots, time_point now) const;
    /// Streams that this gateway may still start at the engine; at least 0 and at most `slots`.
    int free_places(const std::string& engine, int slots, int own_streams, time_point now) const;

private:
    struct held_report {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point received{};
        std::map<std::string, engine_use> uses; ///< by engine
        std::vector<engine_load> loads;

        bool valid(time_point now) const { return now - received < report_validity; }
        bool in_progress(const engine_load& load, time_point now) const
        {
            return valid(now) && now - received < load.left;
        }
    };
    struct observation {
        int elsewhere = 0;
        time_point received{};

        bool valid(time_point now) const { return now - received < observation_validity; }
    };
    std::string self_;
    std::map<std::string, held_report> reports_;       ///< by VM
    std::map<std::string, observation> observations_;  ///< by engine
    std::map<std::string, time_point> expected_since_; ///< by VM
};

} // namespace vanillagauge::policy

#endif
