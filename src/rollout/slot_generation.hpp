/// One sample on its way: generated on an engine with its labels, then scored.
#ifndef VANILLAGAUGE_ROLLOUT_SLOT_GENERATION_HPP
#define VANILLAGAUGE_ROLLOUT_SLOT_GENERATION_HPP

#include "rollout/context.hpp"
#include "samples/samples.hpp"

#include "target.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace vanillagauge::rollout {

struct generation_request {
    std::string sample_id;
    std::string prompt;
    int max_tokens = 0;
    std::string scorer; ///< empty: not scored
    milliseconds deadline{60000};
};

struct generated {
    std::string text;
    samples::labels labels;
    double score = 0;
};

class slot_generation : public std::enable_shared_from_this<slot_generation> {
public:
    using completion = std::function<void(result<generated>)>;

    slot_generation(const context& shared, generation_request request, completion on_done);

    /// Streams from the engine at this address.
    void start(const std::string& engine_address);
    void cancel();

private:
    context context_;
    generation_request request_;
    completion on_done_;
    generated product_;
    int next_sequence_ = 0;
    bool whole_ = false;
    bool crossed_ = false;
    wire::call_cancel cancel_;

    void take(const target::v1::GenerateChunk& chunk);
    void on_end(const result<done>& outcome);
    void score();
};

} // namespace vanillagauge::rollout

#endif
