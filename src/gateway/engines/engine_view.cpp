#include "gateway/engines/engine_view.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

bool by_engine(const policy::engine_use& left, const policy::engine_use& right)
{
    return left.engine < right.engine;
}

bool same_streams(const policy::engine_use& left, const policy::engine_use& right)
{
    return left.engine == right.engine && left.streams == right.streams;
}

} // namespace

int engine_view::free_places(const target& engine, time_point now) const
{
    return ledger_.free_places(engine.info.instance_id(), engine.info.slots, engine.streams, now);
}

bool engine_view::is_loading(const target& engine, const std::string& model, time_point now) const
{
    const auto instance_id = engine.info.instance_id();
    const auto own = own_loads_.find(instance_id);
    const bool loading_by_own_order = own != own_loads_.end() && !own->second.loaded &&
                                      own->second.model == model && now < own->second.listed_until;
    return loading_by_own_order || ledger_.is_loading(instance_id, model, now);
}

double engine_view::events_left(const target& engine, time_point now) const
{
    const auto instance_id = engine.info.instance_id();
    const auto own = std::lower_bound(own_uses_.begin(), own_uses_.end(),
                                      policy::engine_use{instance_id, 0, 0}, by_engine);
    const bool used = own != own_uses_.end() && own->engine == instance_id;
    return (used ? own->events_left : 0) + ledger_.events_elsewhere(instance_id, now);
}

// The events that are left change with each event; only a stream that starts or ends is worth a message.
void engine_view::set_own_uses(std::vector<policy::engine_use> uses)
{
    std::sort(uses.begin(), uses.end(), by_engine);
    if (!std::equal(uses.begin(), uses.end(), own_uses_.begin(), own_uses_.end(), same_streams)) {
        ++own_changes_;
    }
    own_uses_ = std::move(uses);
}

void engine_view::observe_load(const target& engine, const policy::load_report& load, time_point now)
{
    ledger_.observe_load(engine.info.instance_id(), load, engine.streams, now);
}

void engine_view::begin_load(const target& engine, const std::string& model, std::uint64_t version,
                             time_point now)
{
    std::erase_if(own_loads_,
                  [&](const auto& entry) { return entry.second.loaded && now >= entry.second.listed_until; });
    own_loads_[engine.info.instance_id()] = {model, version, now + policy::max_load_left, false};
    ++own_changes_;
}

// A completed load stays listed until every report that announced it as running has expired, so that the
// other gateways use the new version before the engine's entry in the store shows it.
void engine_view::end_load(const target& engine, bool loaded, time_point now)
{
    const auto found = own_loads_.find(engine.info.instance_id());
    if (found == own_loads_.end()) {
        return;
    }
    ++own_changes_;
    if (!loaded) {
        own_loads_.erase(found);
        return;
    }
    found->second.loaded = true;
    found->second.listed_until = now + policy::report_validity;
}

std::vector<policy::engine_load> engine_view::own_loads(time_point now) const
{
    std::vector<policy::engine_load> loads;
    for (const auto& [engine, load] : own_loads_) {
        if (now < load.listed_until) {
            // Rounded up: 0 states that the load has been completed.
            const auto left = std::chrono::ceil<milliseconds>(load.listed_until - now);
            loads.push_back({engine, load.model, load.version, load.loaded ? milliseconds{0} : left});
        }
    }
    return loads;
}

} // namespace vanillagauge::gateway
