/// What this gateway knows of the load of the engines, its own and that of other gateways.
#ifndef VANILLAGAUGE_GATEWAY_ENGINES_ENGINE_VIEW_HPP
#define VANILLAGAUGE_GATEWAY_ENGINES_ENGINE_VIEW_HPP

#include "gateway/target_registry.hpp"
#include "policy/engine_ledger.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

class engine_view {
public:
    /// `self` is the VM of this gateway.
    explicit engine_view(std::string self) : ledger_(std::move(self)) {}

    /// Streams that this gateway may still start there.
    int free_places(const target& engine, time_point now) const;
    /// Whether the engine is loading weights of the model and so rejects new requests for it.
    bool is_loading(const target& engine, const std::string& model, time_point now) const;
    /// Events that the streams of all gateways at the engine have left; 0 if none or not known.
    double events_left(const target& engine, time_point now) const;

    /// This gateway's streams, as counted last.
    void set_own_uses(std::vector<policy::engine_use> uses);
    /// An engine's load report in a response to this gateway.
    void observe_load(const target& engine, const policy::load_report& load, time_point now);
    /// This gateway is about to order the engine to load the version.
    void begin_load(const target& engine, const std::string& model, std::uint64_t version, time_point now);
    /// The load has ended, or was not begun; `loaded`: the engine reports the version.
    void end_load(const target& engine, bool loaded, time_point now);

    const std::vector<policy::engine_use>& own_uses() const { return own_uses_; }
    /// The loads ordered by this gateway that have not ended, and those completed within
    /// `policy::report_validity`.
    std::vector<policy::engine_load> own_loads(time_point now) const;
    /// Increases when this gateway's stream counts or loads change.
    std::uint64_t own_changes() const { return own_changes_; }

    /// The reports of the other gateways.
    policy::engine_ledger& ledger() { return ledger_; }
    const policy::engine_ledger& ledger() const { return ledger_; }

private:
    struct own_load {
        std::string model;
        std::uint64_t version = 0;
        time_point listed_until{}; ///< the latest end of the load, or the end of its listing once loaded
        bool loaded = false;
    };
    policy::engine_ledger ledger_;
    std::vector<policy::engine_use> own_uses_;  ///< ordered by engine
    std::map<std::string, own_load> own_loads_; ///< by engine
    std::uint64_t own_changes_ = 0;
};

} // namespace vanillagauge::gateway

#endif
