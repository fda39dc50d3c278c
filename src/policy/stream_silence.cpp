#include "policy/stream_silence.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// The shortest silence after which callers abandon a stream (the platform's protocol).
constexpr milliseconds min_caller_patience{2000};
constexpr int caller_patience_in_latencies = 4;

} // namespace

// Load pattern: targets that pause within a stream for seconds, as where memory is short, beside others that
// are gone without a word. A caller leaves a silent stream after its patience, so what can go on elsewhere
// does so at three quarters of it; the rest is for the first event there. Where it can't, ending the stream
// sooner would only lose an answer that its target still makes.
std::optional<duration> max_stream_silence(const stream_options& options)
{
    if (!options.may_move) {
        return std::nullopt;
    }
    const auto patience =
        std::max<duration>(min_caller_patience, options.target_latency * caller_patience_in_latencies);
    return patience * 3 / 4;
}

} // namespace vanillagauge::policy
