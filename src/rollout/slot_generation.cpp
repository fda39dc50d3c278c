#include "rollout/slot_generation.hpp"

#include "wire/call.hpp"

namespace vanillagauge::rollout {
namespace {

constexpr milliseconds progress_timeout{5000};
constexpr milliseconds cancel_timeout{2000};

} // namespace

slot_generation::slot_generation(const context& shared, generation_request request, chunk_handler on_chunk,
                                 end_handler on_end)
    : context_(shared), request_(std::move(request)), on_chunk_(std::move(on_chunk)),
      on_end_(std::move(on_end)), check_(request_.request_id), span_(observe::new_trace(), "rollout.generate")
{
    span_.set_attribute("request_id", request_.request_id);
}

void slot_generation::start(const std::string& engine_address)
{
    target::v1::GenerateRequest forward;
    forward.set_request_id(request_.request_id);
    forward.set_prompt(request_.prompt);
    forward.set_max_tokens(request_.max_tokens);
    forward.set_resume_text(request_.resume_text);
    forward.set_resume_tokens(request_.resume_tokens);
    wire::call_options options;
    options.timeout = request_.deadline;
    options.progress_timeout = progress_timeout;
    options.trace = span_.context();
    span_.set_attribute("engine", engine_address);
    auto self = shared_from_this();
    auto stop = wire::stream<target::v1::GenerateChunk>(
        *context_.targets.at(engine_address), wire::method<target::v1::Engine>("Generate"), forward, options,
        [self](const target::v1::GenerateChunk& chunk) { self->on_chunk_received(chunk); },
        [self](const result<done>& outcome) { self->on_stream_end(outcome); });
    bool late = false;
    {
        const std::lock_guard lock(mutex_);
        address_ = engine_address;
        late = cancelled_;
        cancel_ = stop;
    }
    if (late) {
        cancel();
    }
}

// After a mere close the engine might go on generating until its next write; the explicit cancel frees its
// capacity at once.
void slot_generation::cancel()
{
    wire::call_cancel stop;
    std::string address;
    {
        const std::lock_guard lock(mutex_);
        cancelled_ = true;
        stop = cancel_;
        address = address_;
    }
    if (!stop) {
        return;
    }
    target::v1::CancelRequest request;
    request.set_request_id(request_.request_id);
    wire::call_options options;
    options.timeout = cancel_timeout;
    wire::call<target::v1::CancelReply>(*context_.targets.at(address),
                                        wire::method<target::v1::Engine>("Cancel"), request, options,
                                        [](const result<target::v1::CancelReply>&) {});
    stop();
}

void slot_generation::on_chunk_received(const target::v1::GenerateChunk& chunk)
{
    const samples::chunk_info facts{chunk.request_id(), chunk.sequence(), chunk.tokens(),
                                    chunk.version(),    chunk.done(),     chunk.total_tokens()};
    const auto verdict = check_.check(facts);
    if (context_.records.enabled()) {
        context_.records.write("stream", "chunk", steady::now(),
                               {{"stream", request_.request_id},
                                {"request_id", facts.request_id},
                                {"sequence", facts.sequence},
                                {"tokens", facts.tokens},
                                {"version", facts.version},
                                {"done", facts.done},
                                {"total", facts.total_tokens},
                                {"verdict", static_cast<int>(verdict)}});
    }
    if (verdict == samples::chunk_verdict::accepted) {
        on_chunk_(facts, chunk.text());
    }
}

void slot_generation::on_stream_end(const result<done>& outcome)
{
    span_.set_attribute("outcome", ok(outcome) ? "ok" : describe(failure(outcome)));
    span_.end();
    switch (check_.verdict()) {
    case samples::chunk_verdict::mismatched:
        on_end_(generation_end::invalid, "received a chunk of another stream or out of sequence");
        return;
    case samples::chunk_verdict::unversioned:
        on_end_(generation_end::invalid, "received a chunk without a weight version");
        return;
    case samples::chunk_verdict::accepted:
        break;
    }
    if (!ok(outcome)) {
        on_end_(generation_end::failed, describe(failure(outcome)));
        return;
    }
    on_end_(check_.complete() ? generation_end::complete : generation_end::failed,
            "the stream is incomplete");
}

} // namespace vanillagauge::rollout
