#include "gateway/internal/forwarded_call.hpp"
#include "observe/log.hpp"
#include "policy/background_capacity.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

/// A route without a time-out and a caller that names no time.
constexpr milliseconds longest_call{60000};

/// A replica that has not answered an idempotent request after this many target latencies is taken for hung,
/// while there is another to ask: the slowest of a hundred answers takes some five times the mean.
constexpr int hung_after_targets = 4;
constexpr milliseconds hung_least{400};

/// When to come back to a service without a usable replica: one that crashed is back after some seconds.
constexpr milliseconds no_replica_retry_after{500};

/// When to come back from a gateway that stops, which is at once: another one serves.
constexpr milliseconds stopping_retry_after{1};

error not_run(error_code code, std::string detail, milliseconds retry_after)
{
    return {code, run_state::not_run, std::move(detail), retry_after};
}

policy::priority urgency_of(int priority)
{
    // Lower numbers are more urgent; the scheduler knows three classes.
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

// Calls of the gateway's own have a gate apart: they take longer than callers' requests and come in bursts,
// so one line and one measure of latency for both would make each replica look slow, and callers would wait.
service_gate* forwarder::gate_of(const call& current)
{
    const auto& service = current.service;
    auto& gate = current.own() ? own_gates_[service] : gates_[service];
    if (!gate) {
        const auto replicas = targets_.of_service(service);
        if (replicas.empty()) {
            return nullptr;
        }
        const auto slots = replicas.front()->info.slots;
        policy::pool_options options{.limited = true, .initial_limit = std::max(slots, 1)};
        if (current.own()) {
            options.initial_limit = policy::background_capacity(slots);
            options.adaptive = false;
        }
        const auto patience =
            current.own() ? policy::wait_policy::until_deadline : policy::wait_policy::shed_early;
        gate = std::make_unique<service_gate>(loop_, random_(), options, patience);
        gate->update(replicas, steady::now());
    }
    return gate.get();
}

void forwarder::refresh(time_point now)
{
    for (auto* gates : {&gates_, &own_gates_}) {
        for (auto& [service, gate] : *gates) {
            if (gate) {
                gate->update(targets_.of_service(service), now);
            }
        }
    }
}

forwarder::call forwarder::begin(const route& chosen, const caller_request& request)
{
    const auto allowed = request.time_allowed.value_or(longest_call);
    const auto kept = chosen.timeout.count() > 0 ? std::min(allowed, chosen.timeout) : allowed;
    call current{
        chosen, request, nullptr, request.arrived + kept,
        observe::span(observe::parse_traceparent(request.http.fields.find(observe::traceparent_field)),
                      "forward")};
    current.hop.note("request_id", request.attempt_id);
    current.hop.note("route", chosen.name);
    current.service = pick_service(chosen, std::uniform_real_distribution<double>(0, 1)(random_));
    current.work.id = next_work_++;
    current.work.caller = request.host;
    current.work.urgency = urgency_of(chosen.priority);
    current.work.deadline = current.deadline;
    current.work.near_domain = failure_domain_;
    current.fingerprint = policy::request_fingerprint(
        current.service, request.http.method + request.http.target, request.http.body);
    current.last_event = request.resume_after;
    return current;
}

// Nobody waits for the answer any more.
void forwarder::withdraw(call& current)
{
    current.gone = true;
    if (current.connection) {
        current.connection->close();
    }
    auto& gates = current.own() ? own_gates_ : gates_;
    const auto gate = gates.find(current.service);
    if (gate != gates.end() && gate->second) {
        gate->second->withdraw(current.work.id);
    }
}

net::task<void> forwarder::forward(route chosen, caller_request request, net::responder& answer)
{
    auto current = begin(chosen, request);
    current.answer = &answer;
    answer.on_client_gone([this, &current] { withdraw(current); });
    auto outcome = co_await run(current);
    co_await answer_with(current, std::move(outcome));
}

net::task<own_call_outcome> forwarder::make_call(route chosen, caller_request request,
                                                 policy::priority urgency,
                                                 std::shared_ptr<call_ticket> ticket)
{
    auto current = begin(chosen, request);
    current.work.urgency = urgency;
    ticket->on_cancel([this, &current] { withdraw(current); });
    auto outcome = co_await run(current);
    ticket->on_cancel(nullptr);
    log_end(current, outcome);
    if (outcome.not_run) {
        outcome.result = not_run(error_code::overloaded, "the replicas are full", no_replica_retry_after);
    }
    own_call_outcome told{error{}, current.internal_errors};
    std::visit([&told](auto& ended) { told.response = std::move(ended); }, outcome.result);
    co_return told;
}

bool forwarder::may_take(const call& current) const
{
    const auto form = current.chosen.kind == route_kind::stream ? policy::response_kind::stream
                                                                : policy::response_kind::complete;
    return current.own() || stop_->accepts(current.request.arrived, current.deadline, form);
}

net::task<forwarder::attempt_outcome> forwarder::run(call& current)
{
    attempt_outcome outcome;
    if (stop_ && !may_take(current)) {
        outcome.result = not_run(error_code::unavailable, "the gateway stops", stopping_retry_after);
        co_return outcome;
    }
    auto* gate = gate_of(current);
    if (gate == nullptr) {
        outcome.result =
            not_run(error_code::unavailable, "the service has no usable replica", no_replica_retry_after);
        co_return outcome;
    }
    const auto suspect = crashes_.check(current.fingerprint, steady::now());
    if (!ok(suspect)) {
        outcome.result = failure(suspect);
        co_return outcome;
    }
    auto admitted = co_await gate->admit(current.work);
    while (true) {
        if (!ok(admitted)) {
            outcome.result = failure(admitted);
            break;
        }
        const auto lifetime = value(admitted);
        const auto at = targets_.find(lifetime);
        const auto began = steady::now();
        if (!at || !at->usable) {
            gate->finish(lifetime, {});
            outcome.result = not_run(error_code::unavailable, "the replica has left", no_replica_retry_after);
        }
        else {
            ++current.attempts;
            observe::span hop(current.hop.context(), "attempt");
            hop.note("replica", lifetime);
            current.replica = lifetime;
            current.attempt_context = hop.context();
            if (current.chosen.kind == route_kind::stream && !current.own()) {
                outcome = co_await stream(current, at, current.deadline);
            }
            else {
                outcome = co_await attempt(current, at, attempt_end(current, *gate, began));
            }
            outcome.replica = lifetime;
            hop.note("outcome", outcome.text());
            current.internal_errors += outcome.internal_error() ? 1 : 0;
            report(*gate, at, outcome, steady::now() - began);
        }
        const auto now = steady::now();
        if (outcome.succeeded() || !may_go_on(current, outcome, now)) {
            break;
        }
        current.work.tried.insert(lifetime);
        const auto next = gate->retry(current.work);
        if (!next) {
            break;
        }
        admitted = *next;
    }
    co_return outcome;
}

time_point forwarder::attempt_end(const call& current, const service_gate& gate, time_point now) const
{
    if (!current.repeatable() || current.attempts >= current.chosen.attempts) {
        return current.deadline;
    }
    const duration of_route = current.chosen.target_latency * hung_after_targets;
    const auto patience = current.own() ? gate.hedge_delay() : of_route;
    return std::min(current.deadline, now + std::max<duration>(patience, hung_least));
}

// A request that is not idempotent goes on only where the replica itself, or a connection that was never
// made, proves that it has not run. A reset or a silence proves nothing.
bool forwarder::may_go_on(const call& current, const attempt_outcome& outcome, time_point now) const
{
    if (current.gone || now >= current.deadline || current.attempts >= current.chosen.attempts) {
        return false;
    }
    if (current.begun) {
        return current.repeatable();
    }
    const auto* failed = std::get_if<error>(&outcome.result);
    const bool provably_not_run = outcome.not_run || (failed != nullptr && failed->ran == run_state::not_run);
    return provably_not_run || current.repeatable();
}

void forwarder::report(service_gate& gate, const target_ref& at, const attempt_outcome& outcome,
                       duration took)
{
    policy::attempt_report ended;
    ended.latency = took;
    const auto* failed = std::get_if<error>(&outcome.result);
    const bool cancelled = failed != nullptr && failed->code == error_code::cancelled;
    if (cancelled || outcome.not_run) {
        ended.kind = policy::attempt_result::unknown;
    }
    else {
        ended.kind = outcome.succeeded() ? policy::attempt_result::answered : policy::attempt_result::failed;
    }
    if (outcome.load) {
        gate.on_load(at->info.lifetime(), *outcome.load);
    }
    gate.finish(at->info.lifetime(), ended);
}

net::task<void> forwarder::answer_with(call& current, attempt_outcome outcome)
{
    log_end(current, outcome);
    if (outcome.finished_stream) {
        co_return;
    }
    if (current.begun || current.gone) {
        current.answer->abort(); // an answer that has begun and cannot be completed must not look whole
        co_return;
    }
    if (auto* response = std::get_if<net::http_response>(&outcome.result); response && !outcome.not_run) {
        co_await current.answer->send(std::move(*response));
        co_return;
    }
    auto reason = outcome.not_run
                      ? not_run(error_code::overloaded, "the replicas are full", no_replica_retry_after)
                      : std::get<error>(outcome.result);
    co_await current.answer->send(protocol_.to_response(reason));
}

void forwarder::log_end(call& current, const attempt_outcome& outcome) const
{
    const auto took = std::chrono::duration_cast<milliseconds>(steady::now() - current.request.arrived);
    counts_.record("request_time", steady::now() - current.request.arrived);
    const bool good = outcome.succeeded();
    counts_.add(good ? "requests_total{outcome=\"answered\"}" : "requests_total{outcome=\"failed\"}");
    const auto text = outcome.text();
    current.hop.note("outcome", text);
    observe::log(good ? observe::log_level::info : observe::log_level::warning, "request_ended",
                 {{"request", current.request.attempt_id},
                  {"route", current.chosen.name},
                  {"replica", outcome.replica},
                  {"attempts", std::int64_t{current.attempts}},
                  {"took_ms", std::int64_t{took.count()}},
                  {"left_ms", std::int64_t{remaining(steady::now(), current.deadline).count()}},
                  {"outcome", text}});
}

} // namespace vanillagauge::gateway
