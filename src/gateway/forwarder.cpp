#include "gateway/caller_access.hpp"
#include "gateway/internal/forwarded_call.hpp"
#include "observe/log.hpp"
#include "policy/background_capacity.hpp"
#include "policy/retry_after.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

/// If neither the route nor the caller sets a time limit.
constexpr milliseconds default_call_timeout{60000};

/// A repeatable request goes to another replica after this many target latencies without a response. Well
/// above the mean, because the slowest of a hundred responses takes about five times the mean.
constexpr int hang_latency_factor = 4;
constexpr milliseconds min_hang_timeout{400};

/// Retry-After of a stopping gateway: nearly immediate, since another one serves.
constexpr milliseconds stopping_retry_after{1};

error refusal(error_code code, std::string detail, milliseconds retry_after)
{
    return {code, run_state::not_run, std::move(detail), retry_after};
}

policy::priority urgency_of(int priority)
{
    // Lower numbers are more urgent; the scheduler has three classes.
    if (priority <= 0) {
        return policy::priority::gate;
    }
    return priority <= 2 ? policy::priority::member : policy::priority::batch;
}

} // namespace

forwarder::forwarder(net::loop& loop, const target_registry& targets, const target_protocol& protocol,
                     observe::metrics& counts, policy::quarantine& crashes, std::string failure_domain)
    : loop_(loop), targets_(targets), protocol_(protocol), counts_(counts), crashes_(crashes),
      failure_domain_(std::move(failure_domain))
{
}

forwarder::attempt_outcome forwarder::attempt_outcome::left()
{
    attempt_outcome outcome;
    outcome.replica_left = true;
    outcome.result = refusal(error_code::unavailable, "the replica has left", policy::min_retry_after);
    return outcome;
}

// Internal calls have a separate queue: they take longer than callers' requests and come in bursts, so a
// shared queue and latency estimate would make every replica look slow and delay callers.
admission_queue* forwarder::queue_of(const call& current)
{
    const auto& service = current.service;
    auto& queue = current.internal() ? internal_queues_[service] : queues_[service];
    if (!queue) {
        const auto replicas = targets_.of_service(service);
        if (replicas.empty()) {
            return nullptr;
        }
        const auto slots = replicas.front()->info.slots;
        policy::pool_options options{.limited = true, .initial_limit = std::max(slots, 1)};
        if (current.internal()) {
            options.initial_limit = policy::background_capacity(slots);
            options.adaptive = false;
        }
        const auto wait_policy =
            current.internal() ? policy::wait_policy::until_deadline : policy::wait_policy::shed_early;
        queue = std::make_unique<admission_queue>(loop_, random_(), options, wait_policy);
        queue->update(replicas, steady::now());
    }
    return queue.get();
}

void forwarder::refresh(time_point now)
{
    for (auto* queues : {&queues_, &internal_queues_}) {
        for (auto& [service, queue] : *queues) {
            if (queue) {
                queue->update(targets_.of_service(service), now);
            }
        }
    }
}

forwarder::call forwarder::begin(const route& chosen, const caller_request& request)
{
    const auto allowed = request.timeout.value_or(default_call_timeout);
    const auto kept = chosen.timeout.count() > 0 ? std::min(allowed, chosen.timeout) : allowed;
    call current{
        chosen, request, nullptr, request.arrived_at + kept,
        observe::span(observe::parse_traceparent(request.http.fields.find(observe::traceparent_header)),
                      "forward")};
    current.span.set_attribute("request_id", request.attempt_id);
    current.span.set_attribute("route", chosen.name);
    current.service = pick_service(chosen, std::uniform_real_distribution<double>(0, 1)(random_));
    current.work.id = next_work_++;
    // A host serves all organisations: fairness among hosts would let a large organisation crowd out the
    // rest.
    current.work.caller = request.acts_for ? request.acts_for->name : request.host;
    current.work.urgency = urgency_of(priority_of(chosen, request.acts_for));
    current.work.deadline = current.deadline;
    current.work.near_domain = failure_domain_;
    current.fingerprint = policy::request_fingerprint(
        current.service, request.http.method + request.http.target, request.http.body);
    current.last_event = request.resume_after;
    return current;
}

void forwarder::cancel(call& current)
{
    current.client_gone = true;
    if (current.connection) {
        current.connection->close();
    }
    auto& queues = current.internal() ? internal_queues_ : queues_;
    const auto queue = queues.find(current.service);
    if (queue != queues.end() && queue->second) {
        queue->second->cancel(current.work.id);
    }
}

net::task<void> forwarder::forward(route chosen, caller_request request, net::responder& answer)
{
    auto current = begin(chosen, request);
    current.answer = &answer;
    answer.on_client_disconnect([this, &current] { cancel(current); });
    auto outcome = co_await run(current);
    co_await send_outcome(current, std::move(outcome));
}

net::task<internal_call_outcome> forwarder::make_internal_call(route chosen, caller_request request,
                                                               policy::priority urgency,
                                                               std::shared_ptr<cancellation_token> ticket)
{
    auto current = begin(chosen, request);
    current.work.urgency = urgency;
    ticket->on_cancel([this, &current] { cancel(current); });
    auto outcome = co_await run(current);
    ticket->on_cancel(nullptr);
    log_outcome(current, outcome);
    if (outcome.not_run) {
        outcome.result = replicas_full(current);
    }
    internal_call_outcome answered{error{}, current.internal_errors};
    std::visit([&answered](auto& ended) { answered.response = std::move(ended); }, outcome.result);
    co_return answered;
}

error forwarder::replicas_full(const call& current)
{
    auto* queue = queue_of(current);
    return refusal(error_code::overloaded, "the replicas are full",
                   queue == nullptr ? policy::min_retry_after : queue->full_retry_after(current.work));
}

bool forwarder::accepts(const call& current) const
{
    const auto form = current.chosen.kind == route_kind::stream ? policy::response_kind::stream
                                                                : policy::response_kind::complete;
    return current.internal() || stop_->accepts(current.request.arrived_at, current.deadline, form);
}

// Whether a request crashes replicas may have become known while it waited.
net::task_of<std::string> forwarder::admit(call& current, admission_queue& queue)
{
    auto admitted = co_await queue.admit(current.work);
    const auto suspect = check_crashes(current);
    if (ok(admitted) && !ok(suspect)) {
        queue.finish(value(admitted), {});
        co_return failure(suspect);
    }
    co_return admitted;
}

net::task<forwarder::attempt_outcome> forwarder::run(call& current)
{
    attempt_outcome outcome;
    if (stop_ && !accepts(current)) {
        outcome.result = refusal(error_code::unavailable, "the gateway stops", stopping_retry_after);
        co_return outcome;
    }
    auto* queue = queue_of(current);
    if (queue == nullptr) {
        const auto now = steady::now();
        outcome.result = refusal(
            error_code::unavailable, "the service has no usable replica",
            policy::retry_after(now - started_at_, current.work.urgency, current.deadline - now, random_));
        co_return outcome;
    }
    const auto suspect = check_crashes(current);
    if (!ok(suspect)) {
        outcome.result = failure(suspect);
        co_return outcome;
    }
    result<std::string> admitted = std::string{};
    auto at_hub = co_await run_at_hub(current);
    bool may_have_run = current.hub_in_doubt; // at an earlier replica
    if (at_hub) {
        outcome = std::move(*at_hub);
        // A refusal by the hub's queue stands: that queue has the whole view of the service.
        const bool decided = outcome.succeeded() || current.attempts == 0;
        const bool retried = !decided && may_retry(current, outcome, steady::now());
        const auto next = retried ? queue->retry(current.work) : std::nullopt;
        if (!next) {
            co_return outcome;
        }
        may_have_run = outcome.may_have_run();
        admitted = *next;
    }
    else {
        admitted = co_await admit(current, *queue);
    }
    while (true) {
        if (!ok(admitted)) {
            outcome.result = failure(admitted);
            break;
        }
        const auto instance_id = value(admitted);
        const auto at = targets_.find(instance_id);
        const auto began = steady::now();
        if (!at || !at->usable) {
            queue->finish(instance_id, {});
            outcome = attempt_outcome::left();
        }
        else {
            ++current.attempts;
            current.sent = false;
            observe::span attempt_span(current.span.context(), "attempt");
            attempt_span.set_attribute("replica", instance_id);
            current.replica = instance_id;
            current.attempt_context = attempt_span.context();
            if (current.chosen.kind == route_kind::stream && !current.internal()) {
                outcome = co_await stream(current, at, current.deadline);
            }
            else {
                outcome = co_await attempt(current, at, attempt_deadline(current, *queue, began));
            }
            outcome.replica = instance_id;
            attempt_span.set_attribute("outcome", outcome.text());
            current.internal_errors += outcome.internal_error() ? 1 : 0;
            current.attempts -= outcome.replica_left ? 1 : 0;
            count_run(current, outcome);
            report(*queue, at, outcome, steady::now() - began);
        }
        const auto now = steady::now();
        if (outcome.succeeded() || !may_retry(current, outcome, now)) {
            break;
        }
        may_have_run = may_have_run || outcome.may_have_run();
        current.work.tried.insert(instance_id);
        if (outcome.replica_left) {
            admitted = co_await admit(current, *queue);
            continue;
        }
        const auto next = queue->retry(current.work);
        if (!next) {
            break;
        }
        admitted = *next;
    }
    if (may_have_run) {
        outcome.put_in_doubt();
    }
    co_return outcome;
}

time_point forwarder::attempt_deadline(const call& current, const admission_queue& queue,
                                       time_point now) const
{
    if (!current.repeatable() || current.attempts >= current.chosen.attempts) {
        return current.deadline;
    }
    const duration of_route = current.chosen.target_latency * hang_latency_factor;
    const auto hang_timeout = current.internal() ? queue.hedge_delay() : of_route;
    return std::min(current.deadline, now + std::max<duration>(hang_timeout, min_hang_timeout));
}

// A request that is not repeatable is retried only if the replica stated, or a connection that was never made
// proves, that it has not run. A reset or a time-out proves nothing.
bool forwarder::may_retry(const call& current, const attempt_outcome& outcome, time_point now) const
{
    if (current.client_gone || now >= current.deadline || current.attempts >= current.max_attempts()) {
        return false;
    }
    if (current.response_started) {
        return current.repeatable();
    }
    const auto* failed = std::get_if<error>(&outcome.result);
    const bool provably_not_run = outcome.not_run || (failed != nullptr && failed->ran == run_state::not_run);
    return provably_not_run || current.repeatable();
}

void forwarder::count_run(const call& current, const attempt_outcome& outcome) const
{
    if (current.internal() || !current.request.acts_for) {
        return;
    }
    const auto* failed = std::get_if<error>(&outcome.result);
    usage::run_evidence seen;
    seen.sent = current.sent;
    seen.answered = failed == nullptr;
    seen.refused = outcome.not_run;
    seen.closed = outcome.closed;
    seen.reused_connection = outcome.reused_connection;
    seen.since_sent = steady::now() - current.sent_at;
    if (usage::probably_ran(seen)) {
        record_run_(current.request.acts_for->name, current.sent_wall);
    }
}

void forwarder::report(admission_queue& queue, const target_ref& at, const attempt_outcome& outcome,
                       duration took)
{
    policy::attempt_report ended;
    ended.latency = took;
    const auto* failed = std::get_if<error>(&outcome.result);
    const bool cancelled = failed != nullptr && failed->code == error_code::cancelled;
    if (cancelled || outcome.not_run || outcome.replica_left) {
        ended.kind = policy::attempt_result::unknown;
    }
    else {
        ended.kind = outcome.succeeded() ? policy::attempt_result::answered : policy::attempt_result::failed;
    }
    if (outcome.load) {
        queue.on_load(at->info.instance_id(), *outcome.load);
    }
    queue.finish(at->info.instance_id(), ended);
}

net::task<void> forwarder::send_outcome(call& current, attempt_outcome outcome)
{
    log_outcome(current, outcome);
    if (outcome.finished_stream) {
        co_return;
    }
    if (current.response_started || current.client_gone) {
        current.answer->abort(); // a truncated response must not look complete
        co_return;
    }
    if (auto* response = std::get_if<net::http_response>(&outcome.result); response && !outcome.not_run) {
        co_await current.answer->send(std::move(*response));
        co_return;
    }
    auto reason = outcome.not_run ? replicas_full(current) : std::get<error>(outcome.result);
    co_await current.answer->send(protocol_.error_response(reason));
}

void forwarder::log_outcome(call& current, const attempt_outcome& outcome) const
{
    const auto took = std::chrono::duration_cast<milliseconds>(steady::now() - current.request.arrived_at);
    counts_.record("request_time", steady::now() - current.request.arrived_at);
    const bool good = outcome.succeeded();
    counts_.add(good ? "requests_total{outcome=\"answered\"}" : "requests_total{outcome=\"failed\"}");
    const auto text = outcome.text();
    current.span.set_attribute("outcome", text);
    observe::log(good ? observe::log_level::info : observe::log_level::warning, "request_ended",
                 {{"request", current.request.attempt_id},
                  {"route", current.chosen.name},
                  {"organisation", current.request.acts_for ? current.request.acts_for->name : std::string{}},
                  {"replica", outcome.replica},
                  {"attempts", std::int64_t{current.attempts}},
                  {"took_ms", std::int64_t{took.count()}},
                  {"left_ms", std::int64_t{milliseconds_between(steady::now(), current.deadline).count()}},
                  {"outcome", text}});
}

} // namespace vanillagauge::gateway
