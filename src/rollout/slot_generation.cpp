#include "rollout/slot_generation.hpp"

#include "wire/call.hpp"

namespace vanillagauge::rollout {
namespace {

constexpr milliseconds progress_timeout{5000};
constexpr milliseconds score_timeout{5000};

} // namespace

slot_generation::slot_generation(const context& shared, generation_request request, completion on_done)
    : context_(shared), request_(std::move(request)), on_done_(std::move(on_done))
{
}

void slot_generation::start(const std::string& engine_address)
{
    target::v1::GenerateRequest forward;
    forward.set_request_id(request_.sample_id);
    forward.set_prompt(request_.prompt);
    forward.set_max_tokens(request_.max_tokens);
    wire::call_options options;
    options.timeout = request_.deadline;
    options.progress_timeout = progress_timeout;
    auto self = shared_from_this();
    cancel_ = wire::stream<target::v1::GenerateChunk>(
        *context_.targets.at(engine_address), wire::method<target::v1::Engine>("Generate"), forward, options,
        [self](const target::v1::GenerateChunk& chunk) { self->take(chunk); },
        [self](const result<done>& outcome) { self->on_end(outcome); });
}

void slot_generation::cancel()
{
    if (cancel_) {
        cancel_();
    }
}

void slot_generation::take(const target::v1::GenerateChunk& chunk)
{
    const bool expected =
        chunk.request_id() == request_.sample_id && chunk.sequence() == next_sequence_ && !whole_;
    if (!expected || crossed_) {
        crossed_ = true;
        return;
    }
    ++next_sequence_;
    product_.text += chunk.text();
    product_.labels.add(chunk.version(), chunk.tokens());
    if (chunk.done()) {
        whole_ = chunk.total_tokens() == product_.labels.tokens();
        crossed_ = !whole_;
    }
}

void slot_generation::on_end(const result<done>& outcome)
{
    if (crossed_ || (ok(outcome) && !whole_)) {
        on_done_(error{error_code::incomplete, run_state::ran, "the engine's stream is not whole"});
        return;
    }
    if (!ok(outcome)) {
        on_done_(failure(outcome));
        return;
    }
    if (product_.labels.unlabelled()) {
        on_done_(error{error_code::incomplete, run_state::ran,
                       "a chunk without a version label voids the sample"});
        return;
    }
    if (request_.scorer.empty()) {
        on_done_(std::move(product_));
        return;
    }
    score();
}

void slot_generation::score()
{
    const auto group = context_.directory.find(request_.scorer);
    const auto slot = group ? group->acquire(context_.settings.failure_domain, {}) : std::nullopt;
    if (!slot) {
        on_done_(error{error_code::unavailable, run_state::not_run, "no scorer is free"});
        return;
    }
    target::v1::ScoreRequest request;
    request.set_sample_id(request_.sample_id);
    request.set_prompt(request_.prompt);
    request.set_text(product_.text);
    wire::call_options options;
    options.timeout = score_timeout;
    auto self = shared_from_this();
    wire::call<target::v1::ScoreReply>(
        *context_.targets.at(slot->address), wire::method<target::v1::PlainService>("Score"), request,
        options, [self, group, id = slot->id](const result<target::v1::ScoreReply>& reply) {
            group->release(id);
            if (!ok(reply)) {
                self->on_done_(failure(reply));
                return;
            }
            self->product_.score = value(reply).score();
            self->on_done_(std::move(self->product_));
        });
}

} // namespace vanillagauge::rollout
