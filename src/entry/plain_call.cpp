#include "entry/plain_call.hpp"

#include "entry/attempt_outcome.hpp"
#include "wire/call.hpp"

namespace vanillagauge::entry {
namespace {

constexpr int max_attempts = 3;

/// Rejects late and misrouted answers: those for another request, or with a body that does not match its
/// digest.
result<v1::CallReply> validate(const result<target::v1::CallReply>& answer, const v1::CallRequest& request,
                               const std::string& target_id)
{
    if (!ok(answer)) {
        return failure(answer);
    }
    const auto& reply = value(answer);
    if (reply.request_id() != request.request_id()) {
        return error{error_code::incomplete, run_state::in_doubt,
                     "the target's answer is for another request"};
    }
    if (reply.digest() != digest(reply.body())) {
        return error{error_code::incomplete, run_state::ran, "the target's answer does not match its digest"};
    }
    v1::CallReply complete;
    complete.set_request_id(reply.request_id());
    complete.set_body(reply.body());
    complete.set_digest(reply.digest());
    complete.set_target(target_id);
    return complete;
}

} // namespace

plain_call::plain_call(const entry_context& context, std::shared_ptr<node::target_group> group,
                       v1::CallRequest request, time_point deadline, const observe::trace_context& trace,
                       completion on_done)
    : context_(context), group_(std::move(group)), request_(std::move(request)), deadline_(deadline),
      fingerprint_(policy::request_fingerprint(request_.deployment(), request_.method(), request_.body())),
      span_(trace, "entry.call"), on_done_(std::move(on_done))
{
    span_.set_attribute("request_id", request_.request_id());
    work_.caller = request_.caller();
    work_.urgency = policy::parse_priority(request_.priority());
    work_.deadline = deadline;
    work_.near_domain = context_.settings.failure_domain;
}

void plain_call::start()
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

void plain_call::launch(const node::target_group::endpoint& endpoint)
{
    int number = 0;
    bool already_finished = false;
    {
        const std::lock_guard lock(mutex_);
        already_finished = finished_;
        number = ++attempts_;
        if (!already_finished) {
            running_[number] = {endpoint.id, steady::now()};
        }
        if (group_->limited()) {
            work_.tried.insert(endpoint.id);
        }
        span_.set_attribute("placed", endpoint.id);
    }
    if (already_finished) {
        group_->release(endpoint.id);
        return;
    }
    target::v1::CallRequest forward;
    forward.set_request_id(request_.request_id());
    forward.set_method(request_.method());
    forward.set_body(request_.body());
    wire::call_options options;
    options.timeout = std::max(milliseconds{1}, milliseconds_between(steady::now(), deadline_));
    options.trace = span_.context();
    // After one broken connection other pooled ones may be broken too. A new connection to a lost target is
    // refused, which proves that the call did not run.
    options.fresh_connection = number > 1;
    auto self = shared_from_this();
    auto cancel = wire::call<target::v1::CallReply>(
        *context_.targets.at(endpoint.address), wire::method<target::v1::PlainService>("Call"), forward,
        options,
        [self, number](const result<target::v1::CallReply>& answer) { self->on_answer(number, answer); });
    {
        const std::lock_guard lock(mutex_);
        const auto found = running_.find(number);
        if (found == running_.end()) {
            return;
        }
        found->second.cancel = std::move(cancel);
    }
    // A call that is not idempotent must never run twice.
    if (group_->limited() && request_.idempotent() && number < max_attempts) {
        arm_hedge(number);
    }
}

// A connection can hang while the target and new connections work, and a target can be paused. Rather than
// wait for the deadline, an idempotent call is also sent to another target once the answer is later than
// nearly all others, within the retry budget. The first attempt continues: it may only be slow, and
// cancelling it would lose its work.
void plain_call::arm_hedge(int number)
{
    const auto delay = group_->hedge_delay();
    if (delay >= milliseconds_between(steady::now(), deadline_)) {
        return;
    }
    context_.loop.after(delay, [weak = weak_from_this(), number] {
        if (const auto self = weak.lock()) {
            self->hedge(number);
        }
    });
}

void plain_call::hedge(int number)
{
    {
        const std::lock_guard lock(mutex_);
        if (finished_ || !running_.contains(number) || attempts_ != number) {
            return;
        }
        span_.set_attribute("hedged", running_[number].target);
    }
    retry();
}

bool plain_call::retry()
{
    policy::work wanted;
    {
        const std::lock_guard lock(mutex_);
        wanted = work_;
    }
    const auto endpoint = group_->retry(wanted);
    if (!endpoint) {
        return false;
    }
    launch(*endpoint);
    return true;
}

void plain_call::on_answer(int number, const result<target::v1::CallReply>& answer)
{
    attempt ended;
    bool others_running = false;
    {
        const std::lock_guard lock(mutex_);
        auto found = running_.extract(number);
        if (found.empty()) {
            return; // cancelled: another attempt answered
        }
        ended = std::move(found.mapped());
        others_running = !running_.empty();
    }
    auto outcome = validate(answer, request_, ended.target);
    const auto kind = ok(outcome) ? policy::attempt_result::answered : attempt_result_of(failure(outcome));
    group_->release(ended.target, {kind, steady::now() - ended.started_at});
    if (ok(outcome)) {
        context_.directory.quarantine().on_answer(fingerprint_);
        finish(std::move(outcome));
        return;
    }
    if (looks_like_crash(failure(outcome))) {
        context_.directory.quarantine().on_crash(fingerprint_, ended.target, ended.started_at);
    }
    on_failure(failure(outcome), others_running);
}

void plain_call::on_failure(const error& failure, bool others_running)
{
    error last = failure;
    {
        const std::lock_guard lock(mutex_);
        ran_ = more_certain(ran_, failure.ran);
        last.ran = ran_;
        span_.set_attribute("attempt_failed", describe(failure));
    }
    if (others_running || (may_retry(failure) && retry())) {
        return;
    }
    finish(std::move(last));
}

bool plain_call::may_retry(const error& failure)
{
    const std::lock_guard lock(mutex_);
    const bool attempts_left = attempts_ < max_attempts || !group_->limited();
    const bool in_time = steady::now() < deadline_;
    const bool quarantined = !ok(context_.directory.quarantine().check(fingerprint_));
    return attempts_left && in_time && !quarantined && policy::retry_is_safe(failure, request_.idempotent());
}

void plain_call::finish(result<v1::CallReply> outcome)
{
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(finished_, true)) {
            return;
        }
        span_.set_attribute("outcome", ok(outcome) ? "ok" : describe(failure(outcome)));
        span_.end();
    }
    cancel_others();
    on_done_(std::move(outcome));
}

// An attempt that was hedged and is still running is later than nearly all answers. It counts as failed, so
// that a target behind a hung connection is soon avoided.
void plain_call::cancel_others()
{
    std::map<int, attempt> others;
    int latest = 0;
    {
        const std::lock_guard lock(mutex_);
        others = std::exchange(running_, {});
        latest = attempts_;
    }
    for (auto& [number, other] : others) {
        const auto kind = number < latest ? policy::attempt_result::failed : policy::attempt_result::unknown;
        group_->release(other.target, {kind, steady::now() - other.started_at});
        if (other.cancel) {
            other.cancel();
        }
    }
}

} // namespace vanillagauge::entry
