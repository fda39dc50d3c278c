#include "entry/plain_call.hpp"

#include "wire/call.hpp"

#include "target.pb.h"

namespace vanillagauge::entry {
namespace {

constexpr int most_attempts = 3;
constexpr milliseconds full_retry_after{200};

/// Late and crossed answers: one that names another request, or whose body does not match its digest, never
/// passes for this call's answer.
result<v1::CallReply> checked(const result<target::v1::CallReply>& answer, const v1::CallRequest& request,
                              const std::string& target_id)
{
    if (!ok(answer)) {
        return failure(answer);
    }
    const auto& reply = value(answer);
    if (reply.request_id() != request.request_id()) {
        return error{error_code::incomplete, run_state::in_doubt, "the target answered another request"};
    }
    if (reply.digest() != digest(reply.body())) {
        return error{error_code::incomplete, run_state::ran, "the target's answer is not whole"};
    }
    v1::CallReply whole;
    whole.set_request_id(reply.request_id());
    whole.set_body(reply.body());
    whole.set_digest(reply.digest());
    whole.set_target(target_id);
    return whole;
}

} // namespace

plain_call::plain_call(const entry_context& context, std::shared_ptr<node::target_group> group,
                       v1::CallRequest request, time_point deadline, const observe::trace_context& trace,
                       completion on_done)
    : context_(context), group_(std::move(group)), request_(std::move(request)), deadline_(deadline),
      span_(trace, "entry.call"), on_done_(std::move(on_done))
{
    span_.note("request_id", request_.request_id());
}

void plain_call::attempt()
{
    const auto left = remaining(steady::now(), deadline_);
    if (left.count() == 0) {
        finish(error{error_code::deadline_exceeded, run_state::not_run,
                     "the deadline passed before a target was free"});
        return;
    }
    const auto slot = group_->acquire(context_.settings.failure_domain, tried_);
    if (!slot) {
        finish(error{error_code::overloaded, run_state::not_run, "every target is at its limit",
                     full_retry_after});
        return;
    }
    ++attempts_;
    tried_.insert(slot->id);
    span_.note("placed", slot->id);
    target::v1::CallRequest forward;
    forward.set_request_id(request_.request_id());
    forward.set_method(request_.method());
    forward.set_body(request_.body());
    wire::call_options options;
    options.timeout = left;
    options.trace = span_.context();
    auto self = shared_from_this();
    wire::call<target::v1::CallReply>(*context_.targets.at(slot->address),
                                      wire::method<target::v1::PlainService>("Call"), forward, options,
                                      [self, id = slot->id](const result<target::v1::CallReply>& answer) {
                                          self->group_->release(id);
                                          auto outcome = checked(answer, self->request_, id);
                                          if (!ok(outcome) && self->may_retry(failure(outcome))) {
                                              self->span_.note("retry_after", describe(failure(outcome)));
                                              self->attempt();
                                              return;
                                          }
                                          self->finish(std::move(outcome));
                                      });
}

bool plain_call::may_retry(const error& failure) const
{
    const bool safe = request_.idempotent() || failure.ran == run_state::not_run;
    const bool wanted = failure.code == error_code::unavailable || failure.code == error_code::incomplete ||
                        failure.code == error_code::draining;
    return safe && wanted && attempts_ < most_attempts;
}

void plain_call::finish(result<v1::CallReply> outcome)
{
    span_.note("outcome", ok(outcome) ? "ok" : describe(failure(outcome)));
    span_.end();
    on_done_(std::move(outcome));
}

} // namespace vanillagauge::entry
