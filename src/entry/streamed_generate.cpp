#include "entry/streamed_generate.hpp"

#include "entry/attempt_outcome.hpp"
#include "wire/call.hpp"

namespace vanillagauge::entry {
namespace {

constexpr int max_attempts = 3;
constexpr milliseconds progress_timeout{2000};
/// Bytes at the start of a prompt that identify a prefix shared in the engines' caches.
constexpr std::size_t prefix_length = 64;
/// Tokens per unit of cost in fair queueing between callers.
constexpr double tokens_per_cost = 64;

std::uint64_t prefix_of(const v1::GenerateRequest& request)
{
    return hash64(std::string_view(request.prompt()).substr(0, prefix_length), hash64(request.adapter()));
}

} // namespace

streamed_generate::streamed_generate(const entry_context& context, std::shared_ptr<node::target_group> group,
                                     v1::GenerateRequest request, time_point deadline,
                                     const observe::trace_context& trace, on_chunk chunk, completion on_done)
    : context_(context), group_(std::move(group)), request_(std::move(request)), deadline_(deadline),
      span_(trace, "entry.generate"), on_chunk_(std::move(chunk)), on_done_(std::move(on_done)),
      fingerprint_(policy::request_fingerprint(request_.deployment(), request_.adapter(), request_.prompt()))
{
    span_.set_attribute("request_id", request_.request_id());
    work_.caller = request_.caller();
    work_.deadline = deadline;
    work_.near_domain = context_.settings.failure_domain;
    work_.prefix = prefix_of(request_);
    work_.cost = std::max(1.0, request_.max_tokens() / tokens_per_cost);
}

void streamed_generate::start()
{
    const auto quarantine_check = context_.directory.quarantine().check(fingerprint_);
    if (!ok(quarantine_check)) {
        finish(failure(quarantine_check));
        return;
    }
    auto self = shared_from_this();
    group_->submit(work_, [self](const result<node::target_group::endpoint>& endpoint) {
        if (ok(endpoint)) {
            self->launch(value(endpoint));
        }
        else {
            self->finish(failure(endpoint));
        }
    });
}

void streamed_generate::launch(const node::target_group::endpoint& endpoint)
{
    ++attempts_;
    started_at_ = steady::now();
    first_chunk_ = {};
    work_.tried.insert(endpoint.id);
    span_.set_attribute("placed", endpoint.id);
    target::v1::GenerateRequest forward;
    forward.set_request_id(request_.request_id());
    forward.set_prompt(request_.prompt());
    forward.set_max_tokens(request_.max_tokens());
    forward.set_adapter(request_.adapter());
    // After a failure another engine resumes the text, so that the caller's stream continues without a
    // repeated or missing token.
    forward.set_resume_text(text_);
    forward.set_resume_tokens(tokens_);
    next_sequence_ = 0;
    wire::call_options options;
    options.timeout = std::max(milliseconds{1}, milliseconds_between(started_at_, deadline_));
    options.progress_timeout = progress_timeout;
    options.trace = span_.context();
    options.fresh_connection = attempts_ > 1; // other pooled connections may be broken too
    auto self = shared_from_this();
    auto cancel = wire::stream<target::v1::GenerateChunk>(
        *context_.targets.at(endpoint.address), wire::method<target::v1::Engine>("Generate"), forward,
        options, [self](const target::v1::GenerateChunk& chunk) { self->receive(chunk); },
        [self, id = endpoint.id](const result<done>& outcome) { self->on_end(id, outcome); });
    const std::lock_guard lock(mutex_);
    cancel_ = std::move(cancel);
}

// Without this an engine would generate to the last token for a disconnected caller, and under overload such
// callers would take capacity from the waiting ones. Closing the connection stops the engine.
void streamed_generate::stop_engine()
{
    caller_disconnected_ = true;
    wire::call_cancel cancel;
    {
        const std::lock_guard lock(mutex_);
        cancel = cancel_;
    }
    if (cancel) {
        cancel();
    }
}

void streamed_generate::receive(const target::v1::GenerateChunk& chunk)
{
    if (mismatched_ || complete_ || caller_disconnected_) {
        return;
    }
    if (first_chunk_ == duration::zero()) {
        first_chunk_ = steady::now() - started_at_;
    }
    if (chunk.request_id() != request_.request_id() || chunk.sequence() != next_sequence_) {
        mismatched_ = true;
        return;
    }
    ++next_sequence_;
    text_ += chunk.text();
    tokens_ += chunk.tokens();
    complete_ = chunk.done() && chunk.total_tokens() == tokens_;
    mismatched_ = chunk.done() && !complete_;
    v1::GenerateChunk out;
    out.set_request_id(chunk.request_id());
    out.set_text(chunk.text());
    out.set_tokens(chunk.tokens());
    out.set_version(chunk.version());
    if (complete_) {
        out.set_done(true);
        out.set_total_tokens(tokens_);
        out.set_digest(digest(text_));
    }
    if (!mismatched_ && !on_chunk_(out) && !complete_) {
        stop_engine();
    }
}

// Reports the time to the first chunk: it reflects the engine's load, whereas the total time reflects the
// length of the text.
void streamed_generate::report(const std::string& target, const result<done>& outcome)
{
    const bool begun = first_chunk_ != duration::zero();
    const bool timed_out_begun =
        begun && !ok(outcome) && failure(outcome).code == error_code::deadline_exceeded;
    const bool good = complete_ || timed_out_begun;
    const auto kind =
        good ? policy::attempt_result::answered
             : (ok(outcome) ? policy::attempt_result::failed : attempt_result_of(failure(outcome)));
    group_->release(target, {kind, first_chunk_});
    if (complete_) {
        context_.directory.quarantine().on_answer(fingerprint_);
    }
    else if (!ok(outcome) && looks_like_crash(failure(outcome))) {
        context_.directory.quarantine().on_crash(fingerprint_, target, started_at_);
    }
}

void streamed_generate::on_end(const std::string& target, const result<done>& outcome)
{
    report(target, outcome);
    if (complete_) {
        finish(done{});
        return;
    }
    if (caller_disconnected_) {
        finish(error{error_code::cancelled, run_state::ran, "the caller closed the connection"});
        return;
    }
    if (mismatched_) {
        finish(error{error_code::incomplete, run_state::ran,
                     "the engine's stream is inconsistent: wrong request, sequence number or token count"});
        return;
    }
    auto last_error = ok(outcome)
                          ? error{error_code::incomplete, run_state::ran, "the engine's stream ended early"}
                          : failure(outcome);
    ran_ = more_certain(ran_, tokens_ > 0 ? run_state::ran : last_error.ran);
    if (retry(last_error)) {
        return;
    }
    last_error.ran = ran_;
    finish(last_error);
}

// A generation has no side effects, so it may always be resumed at another engine.
bool streamed_generate::retry(const error& failure)
{
    const bool quarantined = !ok(context_.directory.quarantine().check(fingerprint_));
    const bool in_time = steady::now() < deadline_;
    if (quarantined || !in_time || attempts_ >= max_attempts || !policy::retry_is_safe(failure, true)) {
        return false;
    }
    const auto endpoint = group_->retry(work_);
    if (!endpoint) {
        return false;
    }
    span_.set_attribute("resumed_after", describe(failure));
    launch(*endpoint);
    return true;
}

void streamed_generate::finish(const result<done>& outcome)
{
    span_.set_attribute("outcome", ok(outcome) ? "ok" : describe(failure(outcome)));
    span_.end();
    on_done_(outcome);
}

} // namespace vanillagauge::entry
