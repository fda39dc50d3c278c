#include "sender.hpp"

#include "wire/call.hpp"

#include "target.pb.h"
#include "vanillagauge.pb.h"

namespace vanillagauge::load {
namespace {

/// Entries answer by the deadline themselves; this covers the network.
constexpr milliseconds timeout_margin{2000};
constexpr int max_tokens = 64;

} // namespace

void sender::send(const planned_request& request, time_point run_start)
{
    ++running_;
    const auto intended = run_start + request.start;
    if (options_.direct) {
        call_target(request, intended);
    }
    else if (request.generates) {
        generate(request, intended);
    }
    else {
        call(request, intended);
    }
}

wire::channel& sender::next_channel()
{
    return *channels_.at(options_.addresses[next_++ % options_.addresses.size()]);
}

void sender::call(const planned_request& request, time_point intended)
{
    v1::CallRequest message;
    message.set_deployment(options_.traffic.service);
    message.set_method("plan");
    message.set_request_id(request.id);
    message.set_idempotent(true);
    message.set_body(request.id);
    message.set_deadline_ms(request.deadline.count());
    message.set_caller(request.caller);
    message.set_priority(request.priority);
    wire::call_options options;
    options.timeout = request.deadline + timeout_margin;
    options.token = options_.token;
    wire::call<v1::CallReply>(next_channel(), wire::method<v1::Entry>("Call"), message, options,
                              [this, request, intended](const result<v1::CallReply>& reply) {
                                  const bool good = ok(reply);
                                  done(request, intended, good ? value(reply).target() : "",
                                       good ? nullptr : &failure(reply));
                              });
}

void sender::call_target(const planned_request& request, time_point intended)
{
    target::v1::CallRequest message;
    message.set_method("plan");
    message.set_request_id(request.id);
    message.set_body(request.id);
    wire::call_options options;
    options.timeout = request.deadline + timeout_margin;
    wire::call<target::v1::CallReply>(next_channel(), wire::method<target::v1::PlainService>("Call"), message,
                                      options,
                                      [this, request, intended](const result<target::v1::CallReply>& reply) {
                                          done(request, intended, "", ok(reply) ? nullptr : &failure(reply));
                                      });
}

void sender::generate(const planned_request& request, time_point intended)
{
    v1::GenerateRequest message;
    message.set_deployment(options_.traffic.engines);
    message.set_request_id(request.id);
    message.set_prompt("a member asks about plans " + request.caller);
    message.set_max_tokens(max_tokens);
    message.set_deadline_ms(request.deadline.count());
    message.set_caller(request.caller);
    wire::call_options options;
    options.timeout = request.deadline + timeout_margin;
    options.token = options_.token;
    wire::stream<v1::GenerateChunk>(
        next_channel(), wire::method<v1::Entry>("Generate"), message, options,
        [](const v1::GenerateChunk& /*chunk*/) {},
        [this, request, intended](const result<vanillagauge::done>& outcome) {
            done(request, intended, "", ok(outcome) ? nullptr : &failure(outcome));
        });
}

void sender::done(const planned_request& request, time_point intended, const std::string& target,
                  const error* failed)
{
    const auto took = steady::now() - intended;
    if (failed == nullptr) {
        results_.add(request, {took, target, "ok", run_state::ran});
    }
    else {
        results_.add(request, {took, target, std::string(name(failed->code)), failed->ran});
    }
    --running_;
}

} // namespace vanillagauge::load
