// The forwarder's part in relaying requests: as the gateway that has the caller, and as the hub.
#include "gateway/callers/request_relay.hpp"
#include "gateway/internal/forwarded_call.hpp"
#include "observe/log.hpp"

#include <algorithm>

namespace vanillagauge::gateway {

// Load pattern: a gateway that gets many requests for the service has idle connections of its own, and a
// second network path would only add to the time of its requests.
bool forwarder::may_relay(const call& current) const
{
    if (relay_ == nullptr || current.internal() || current.relayed ||
        current.chosen.kind != route_kind::idempotent ||
        current.request.http.body.size() > max_relayed_body) {
        return false;
    }
    const auto replicas = targets_.of_service(current.service);
    return std::none_of(replicas.begin(), replicas.end(),
                        [](const target_ref& replica) { return replica->pool.has_idle(); });
}

net::task<std::optional<forwarder::attempt_outcome>> forwarder::run_at_hub(call& current)
{
    if (!may_relay(current)) {
        co_return std::nullopt;
    }
    const auto hub = relay_->choose(current.service);
    if (!hub) {
        co_return std::nullopt;
    }
    relayed_request sent;
    sent.route = current.chosen.name;
    sent.service = current.service;
    sent.host = current.request.host;
    sent.attempt_id = current.request.attempt_id;
    sent.organisation = current.request.acts_for ? current.request.acts_for->name : std::string{};
    // One attempt is kept for this gateway, as a hub that is lost may have used all of its own.
    sent.attempts = std::max(current.chosen.attempts - 1, 1);
    // Drops the caller's key, as for a replica; the hub sets the other fields again for its replica.
    attempt_request unaddressed;
    unaddressed.attempt_id = current.request.attempt_id;
    sent.http = protocol_.replica_request(current.request.http, unaddressed);
    if (sent.http.fields.contains(observe::traceparent_header)) {
        sent.http.fields.set(observe::traceparent_header, observe::traceparent(current.span.context()));
    }
    const auto attempts = sent.attempts;
    relay_callbacks caller;
    caller.on_connected = [&current](std::shared_ptr<net::http_connection> connection) {
        current.connection = std::move(connection);
        return !current.client_gone;
    };
    caller.take_room = room_for(current);
    current.span.set_attribute("hub", hub->vm);
    auto asking = relay_->send(*hub, std::move(sent), current.deadline, caller);
    auto ended = co_await std::move(asking);
    current.connection.reset();
    attempt_outcome outcome;
    if (auto* answer = std::get_if<relayed_answer>(&ended)) {
        current.attempts = std::min(answer->attempts, attempts);
        current.work.tried.insert(answer->tried.begin(), answer->tried.end());
        outcome.not_run = answer->not_run;
        outcome.replica = std::move(answer->replica);
        std::visit([&outcome](auto& result) { outcome.result = std::move(result); }, answer->response);
        co_return outcome;
    }
    const bool in_doubt = std::get<relay_failure>(ended).in_doubt;
    current.hub_in_doubt = in_doubt;
    current.attempts = in_doubt ? attempts : 0;
    const auto ran = in_doubt ? run_state::in_doubt : run_state::not_run;
    if (current.client_gone) {
        outcome.result = error{error_code::cancelled, ran, "the client has left"};
        co_return outcome;
    }
    if (steady::now() >= current.deadline) {
        outcome.result = error{error_code::deadline_exceeded, ran, "the hub did not answer in time"};
        co_return outcome;
    }
    if (current.attempts >= current.chosen.attempts) {
        outcome.result = error{error_code::unavailable, ran, "the hub was lost with the request"};
        co_return outcome;
    }
    co_return std::nullopt;
}

net::task<relayed_answer> forwarder::run_for_peer(route chosen, caller_request request, int attempts,
                                                  std::shared_ptr<cancellation_token> ticket)
{
    auto current = begin(chosen, request);
    current.relayed = true;
    current.attempt_limit = attempts;
    if (ticket->cancelled()) {
        co_return relayed_answer{request.attempt_id,
                                 error{error_code::cancelled, run_state::not_run, "the client has left"}};
    }
    ticket->on_cancel([this, &current] { cancel(current); });
    auto outcome = co_await run(current);
    ticket->on_cancel(nullptr);
    const auto text = outcome.text();
    current.span.set_attribute("outcome", text);
    const auto took = std::chrono::duration_cast<milliseconds>(steady::now() - request.arrived_at);
    observe::log(outcome.succeeded() ? observe::log_level::info : observe::log_level::warning,
                 "relayed_request_ended",
                 {{"request", request.attempt_id},
                  {"route", chosen.name},
                  {"organisation", request.acts_for ? request.acts_for->name : std::string{}},
                  {"replica", outcome.replica},
                  {"attempts", std::int64_t{current.attempts}},
                  {"took_ms", std::int64_t{took.count()}},
                  {"outcome", text}});
    relayed_answer answer{request.attempt_id, error{}, outcome.not_run, current.attempts, outcome.replica};
    answer.tried.assign(current.work.tried.begin(), current.work.tried.end());
    if (!outcome.succeeded() && !outcome.replica.empty()) {
        answer.tried.push_back(outcome.replica);
    }
    std::visit([&answer](auto& result) { answer.response = std::move(result); }, outcome.result);
    co_return answer;
}

} // namespace vanillagauge::gateway
