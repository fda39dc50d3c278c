#include "samples/stream_validator.hpp"

namespace vanillagauge::samples {

// A late chunk of another stream on a reused connection would silently put foreign text or versions into a
// sample. The request id and the sequence number detect such chunks; the token count at the end detects a
// truncated stream.
chunk_verdict stream_validator::check(const chunk_info& chunk)
{
    if (verdict_ != chunk_verdict::accepted) {
        return verdict_;
    }
    if (chunk.request_id != request_id_ || chunk.sequence != next_sequence_ || ended_) {
        verdict_ = chunk_verdict::mismatched;
        complete_ = false;
        return verdict_;
    }
    if (chunk.version == 0) {
        verdict_ = chunk_verdict::unversioned;
        return verdict_;
    }
    ++next_sequence_;
    tokens_ += chunk.tokens;
    if (chunk.done) {
        ended_ = true;
        complete_ = chunk.total_tokens == tokens_;
    }
    return verdict_;
}

} // namespace vanillagauge::samples
