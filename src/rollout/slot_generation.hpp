/// One engine stream that generates one sample.
#ifndef VANILLAGAUGE_ROLLOUT_SLOT_GENERATION_HPP
#define VANILLAGAUGE_ROLLOUT_SLOT_GENERATION_HPP

#include "observe/trace.hpp"
#include "rollout/context.hpp"
#include "samples/samples.hpp"

#include "target.pb.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace vanillagauge::rollout {

struct generation_request {
    std::string request_id; ///< unique among all streams, also those of another owner for the same sample
    std::string prompt;
    int max_tokens = 0;
    std::string resume_text;
    int resume_tokens = 0;
    milliseconds deadline{60000};
};

enum class generation_end {
    complete,
    failed,  ///< the content received so far is valid
    invalid, ///< mismatched or unversioned: none of the content may be used
};

class slot_generation : public std::enable_shared_from_this<slot_generation> {
public:
    using chunk_handler = std::function<void(const samples::chunk_info&, const std::string& text)>;
    using end_handler = std::function<void(generation_end, const std::string& detail)>;

    slot_generation(const context& shared, generation_request request, chunk_handler on_chunk,
                    end_handler on_end);

    void start(const std::string& engine_address);
    /// Ends the stream and cancels the request at the engine; the end handler gets `failed`.
    void cancel();

private:
    context context_;
    generation_request request_;
    chunk_handler on_chunk_;
    end_handler on_end_;
    samples::stream_validator check_;
    observe::span span_;
    std::mutex mutex_;
    std::string address_;
    wire::call_cancel cancel_;
    bool cancelled_ = false;

    void on_chunk_received(const target::v1::GenerateChunk& chunk);
    void on_stream_end(const result<done>& outcome);
};

} // namespace vanillagauge::rollout

#endif
