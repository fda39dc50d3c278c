/// Checks that the chunks of an engine's stream belong to one request, in sequence and without loss.
#ifndef VANILLAGAUGE_SAMPLES_STREAM_VALIDATOR_HPP
#define VANILLAGAUGE_SAMPLES_STREAM_VALIDATOR_HPP

#include <cstdint>
#include <string>

namespace vanillagauge::samples {

struct chunk_info {
    std::string request_id;
    int sequence = 0;
    int tokens = 0;
    std::uint64_t version = 0;
    bool done = false;
    int total_tokens = 0; ///< of the stream; valid where `done`
};

enum class chunk_verdict {
    accepted,
    mismatched,  ///< of another request, repeated, out of order, or after the end
    unversioned, ///< names no weight version
};

class stream_validator {
public:
    explicit stream_validator(std::string request_id) : request_id_(std::move(request_id)) {}

    /// After a rejected chunk all later ones get the same verdict.
    chunk_verdict check(const chunk_info& chunk);
    /// True where the stream has ended and as many tokens arrived as the engine counted.
    bool complete() const { return complete_; }
    chunk_verdict verdict() const { return verdict_; }

private:
    std::string request_id_;
    int next_sequence_ = 0;
    int tokens_ = 0;
    bool ended_ = false;
    bool complete_ = false;
    chunk_verdict verdict_ = chunk_verdict::accepted;
};

} // namespace vanillagauge::samples

#endif
