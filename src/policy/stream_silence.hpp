/// How long a target may be silent within a stream.
#ifndef VANILLAGAUGE_POLICY_STREAM_SILENCE_HPP
#define VANILLAGAUGE_POLICY_STREAM_SILENCE_HPP

#include "base/base.hpp"

#include <optional>

namespace vanillagauge::policy {

struct stream_options {
    bool may_move = false;     ///< another target may continue the stream, and has room now
    duration target_latency{}; ///< of the route, to the first event
};

/// After so long without a byte the stream goes on at another target; none: its target has until the
/// request's deadline.
std::optional<duration> max_stream_silence(const stream_options& options);

} // namespace vanillagauge::policy

#endif
