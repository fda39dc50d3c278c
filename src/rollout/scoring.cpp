#include "rollout/scoring.hpp"

#include "wire/call.hpp"

namespace vanillagauge::rollout {
namespace {

constexpr milliseconds score_timeout{2000};
constexpr milliseconds first_delay{50};
/// With their timeouts and delays these end within nine seconds, the longest that a step waits for a score.
constexpr int max_attempts = 4;

} // namespace

void scoring::start()
{
    ++attempts_;
    const auto group = context_.directory.find(request_.scorer);
    auto slot = group ? group->acquire(context_.settings.failure_domain, tried_) : std::nullopt;
    if (!slot && group) {
        tried_.clear();
        slot = group->acquire(context_.settings.failure_domain, tried_);
    }
    if (!slot) {
        retry({error_code::unavailable, run_state::not_run, "no scorer has free capacity"});
        return;
    }
    target::v1::ScoreRequest request;
    request.set_sample_id(request_.sample_id);
    request.set_prompt(request_.prompt);
    request.set_text(request_.text);
    wire::call_options options;
    options.timeout = score_timeout;
    options.trace = span_.context();
    span_.set_attribute("placed", slot->id);
    wire::call<target::v1::ScoreReply>(
        *context_.targets.at(slot->address), wire::method<target::v1::PlainService>("Score"), request,
        options,
        [self = shared_from_this(), group, id = slot->id](const result<target::v1::ScoreReply>& reply) {
            group->release(id);
            self->on_reply(id, reply);
        });
}

void scoring::on_reply(const std::string& target, const result<target::v1::ScoreReply>& reply)
{
    if (ok(reply) && value(reply).sample_id() == request_.sample_id) {
        on_done_(value(reply).score());
        return;
    }
    tried_.insert(target);
    retry(ok(reply) ? error{error_code::incomplete, run_state::ran, "the score belongs to another sample"}
                    : failure(reply));
}

// Scoring is idempotent, so it is retried, first at scorers not yet tried. After the last attempt the sample
// is delivered unscored with the reason: holding it back would stall the step.
void scoring::retry(const error& cause)
{
    if (attempts_ >= max_attempts) {
        on_done_(cause);
        return;
    }
    context_.loop.after(first_delay * (1 << attempts_), [self = shared_from_this()] { self->start(); });
}

} // namespace vanillagauge::rollout
