/// Whether the chunks of an engine's stream belong to one request, in order and whole.
#ifndef VANILLAGAUGE_SAMPLES_STREAM_CHECK_HPP
#define VANILLAGAUGE_SAMPLES_STREAM_CHECK_HPP

#include <cstdint>
#include <string>

namespace vanillagauge::samples {

struct chunk_facts {
    std::string request_id;
    int sequence = 0;
    int tokens = 0;
    std::uint64_t version = 0;
    bool done = false;
    int total_tokens = 0; ///< with done
};

enum class chunk_verdict {
    accepted,
    crossed,    ///< of another request, repeated, out of order, or after the end
    unlabelled, ///< names no weight version
};

class stream_check {
public:
    explicit stream_check(std::string request_id) : request_id_(std::move(request_id)) {}

    /// Once a chunk was not accepted, no later one is.
    chunk_verdict take(const chunk_facts& chunk);
    /// All tokens that the engine says it made have come.
    bool whole() const { return whole_; }
    chunk_verdict state() const { return state_; }

private:
    std::string request_id_;
    int next_sequence_ = 0;
    int tokens_ = 0;
    bool ended_ = false;
    bool whole_ = false;
    chunk_verdict state_ = chunk_verdict::accepted;
};

} // namespace vanillagauge::samples

#endif
