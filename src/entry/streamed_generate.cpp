#include "entry/streamed_generate.hpp"

#include "wire/call.hpp"

namespace vanillagauge::entry {
namespace {

constexpr std::size_t most_attempts = 3;
constexpr milliseconds progress_timeout{2000};
constexpr milliseconds full_retry_after{500};

} // namespace

streamed_generate::streamed_generate(const entry_context& context, std::shared_ptr<node::target_group> group,
                                     v1::GenerateRequest request, time_point deadline,
                                     const observe::trace_context& trace, on_chunk chunk, completion on_done)
    : context_(context), group_(std::move(group)), request_(std::move(request)), deadline_(deadline),
      span_(trace, "entry.generate"), chunk_(std::move(chunk)), on_done_(std::move(on_done))
{
    span_.note("request_id", request_.request_id());
}

void streamed_generate::attempt()
{
    const auto left = remaining(steady::now(), deadline_);
    if (left.count() == 0) {
        finish(error{error_code::deadline_exceeded, tokens_ > 0 ? run_state::ran : run_state::not_run,
                     "the deadline passed"});
        return;
    }
    const auto slot = group_->acquire(context_.settings.failure_domain, tried_);
    if (!slot) {
        finish(error{error_code::overloaded, tokens_ > 0 ? run_state::ran : run_state::not_run,
                     "every engine is at its limit", full_retry_after});
        return;
    }
    tried_.insert(slot->id);
    span_.note("placed", slot->id);
    target::v1::GenerateRequest forward;
    forward.set_request_id(request_.request_id());
    forward.set_prompt(request_.prompt());
    forward.set_max_tokens(request_.max_tokens());
    forward.set_adapter(request_.adapter());
    // An engine that broke off in the middle is followed by another that resumes the text, so that the
    // caller's stream goes on without a repeated or missing token.
    forward.set_resume_text(text_);
    forward.set_resume_tokens(tokens_);
    next_sequence_ = 0;
    wire::call_options options;
    options.timeout = left;
    options.progress_timeout = progress_timeout;
    options.trace = span_.context();
    auto self = shared_from_this();
    wire::stream<target::v1::GenerateChunk>(
        *context_.targets.at(slot->address), wire::method<target::v1::Engine>("Generate"), forward, options,
        [self](const target::v1::GenerateChunk& chunk) { self->take(chunk); },
        [self, id = slot->id](const result<done>& outcome) {
            self->group_->release(id);
            self->on_end(outcome);
        });
}

void streamed_generate::take(const target::v1::GenerateChunk& chunk)
{
    if (crossed_ || whole_) {
        return;
    }
    if (chunk.request_id() != request_.request_id() || chunk.sequence() != next_sequence_) {
        crossed_ = true;
        return;
    }
    ++next_sequence_;
    text_ += chunk.text();
    tokens_ += chunk.tokens();
    whole_ = chunk.done() && chunk.total_tokens() == tokens_;
    crossed_ = chunk.done() && !whole_;
    v1::GenerateChunk out;
    out.set_request_id(chunk.request_id());
    out.set_text(chunk.text());
    out.set_tokens(chunk.tokens());
    out.set_version(chunk.version());
    if (whole_) {
        out.set_done(true);
        out.set_total_tokens(tokens_);
        out.set_digest(digest(text_));
    }
    if (!crossed_) {
        chunk_(out);
    }
}

void streamed_generate::on_end(const result<done>& outcome)
{
    if (whole_) {
        finish(done{});
        return;
    }
    if (crossed_) {
        finish(error{error_code::incomplete, run_state::ran, "the engine's stream is not whole"});
        return;
    }
    const auto failure_seen =
        ok(outcome) ? error{error_code::incomplete, run_state::ran, "the engine's stream ended early"}
                    : failure(outcome);
    const bool transient =
        failure_seen.code == error_code::unavailable || failure_seen.code == error_code::incomplete;
    if (transient && tried_.size() < most_attempts) {
        span_.note("resumed_after", describe(failure_seen));
        attempt();
        return;
    }
    finish(failure_seen);
}

void streamed_generate::finish(const result<done>& outcome)
{
    span_.note("outcome", ok(outcome) ? "ok" : describe(failure(outcome)));
    span_.end();
    on_done_(outcome);
}

} // namespace vanillagauge::entry
