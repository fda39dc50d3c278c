/// What this gateway knows of the load of the engines, its own and that of other gateways.
#ifndef VANILLAGAUGE_GATEWAY_ENGINES_ENGINE_VIEW_HPP
#define VANILLAGAUGE_GATEWAY_ENGINES_ENGINE_VIEW_HPP

#include "gateway/target_registry.hpp"

#include <string>

namespace vanillagauge::gateway {

class engine_view {
public:
    /// Streams that this gateway may still start there.
    int free_places(const target& engine, time_point now) const;
    /// Whether the engine is loading weights of the model and so rejects new requests for it.
    bool is_loading(const target& engine, const std::string& model, time_point now) const;
    /// Events that the streams of all gateways at the engine have left; 0 if none or not known.
    double events_left(const target& engine, time_point now) const;
};

} // namespace vanillagauge::gateway

#endif
