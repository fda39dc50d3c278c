#include "samples/stream_check.hpp"

namespace vanillagauge::samples {

// A late chunk of another stream on a reused connection would put foreign text, or foreign versions, into a
// sample; the trainer would learn from a lie and nothing would show it. The request id and an unbroken
// sequence tell every such chunk; the token count at the end tells a lost tail.
chunk_verdict stream_check::take(const chunk_facts& chunk)
{
    if (state_ != chunk_verdict::accepted) {
        return state_;
    }
    if (chunk.request_id != request_id_ || chunk.sequence != next_sequence_ || ended_) {
        state_ = chunk_verdict::crossed;
        whole_ = false;
        return state_;
    }
    if (chunk.version == 0) {
        state_ = chunk_verdict::unlabelled;
        return state_;
    }
    ++next_sequence_;
    tokens_ += chunk.tokens;
    if (chunk.done) {
        ended_ = true;
        whole_ = chunk.total_tokens == tokens_;
    }
    return state_;
}

} // namespace vanillagauge::samples
