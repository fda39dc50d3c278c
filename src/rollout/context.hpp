/// What the parts of vg-rollout share.
#ifndef VANILLAGAUGE_ROLLOUT_CONTEXT_HPP
#define VANILLAGAUGE_ROLLOUT_CONTEXT_HPP

#include "node/node.hpp"
#include "observe/metrics.hpp"
#include "rollout/engine_pool.hpp"
#include "rollout/recorder.hpp"

namespace vanillagauge::rollout {

/// All members outlive every copy of the context.
struct context {
    const config::settings& settings;
    wire::event_loop& loop;
    node::keeper_link& keeper;
    node::channel_pool& targets;
    node::target_directory& directory;
    engine_directory& engines;
    observe::metrics& metrics;
    recorder& records;
};

} // namespace vanillagauge::rollout

#endif
