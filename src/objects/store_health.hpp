/// Derives the state of the Object API (up, slow, down) from regular calls, without probes.
#ifndef VANILLAGAUGE_OBJECTS_STORE_HEALTH_HPP
#define VANILLAGAUGE_OBJECTS_STORE_HEALTH_HPP

#include "base/clock.hpp"

namespace vanillagauge::objects {

enum class store_state { up, slow, down };

const char* name(store_state state);

class store_health {
public:
    void record_response(milliseconds latency);
    void record_failure();
    store_state state() const;

private:
    milliseconds mean_latency_{0}; ///< moving average of the response times
    int failures_ = 0;             ///< since the last response
    bool has_response_ = false;
};

} // namespace vanillagauge::objects

#endif
