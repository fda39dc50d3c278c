#include "gateway/item_scorer.hpp"

namespace vanillagauge::gateway {
namespace {

/// Afterwards the route is looked up again, since it may have changed.
constexpr milliseconds call_timeout{2000};

/// A new configuration reaches all gateways within about two seconds.
constexpr milliseconds route_retry_after{1000};

error scoring_error(std::string detail)
{
    return {error_code::unavailable, run_state::in_doubt, std::move(detail)};
}

} // namespace

// The route may reach this gateway later than others, so the error asks the trainer to retry.
result<done> check_scoring_routes(const configuration& current, const std::vector<batch_item>& items)
{
    for (const auto& item : items) {
        const bool leads_there = !item.scoring || find_route(current, item.scoring->host,
                                                             net::path_of(item.scoring->path)) != nullptr;
        if (!leads_there) {
            return error{error_code::unavailable, run_state::not_run,
                         "no route matches the scoring call " + item.scoring->id, route_retry_after};
        }
    }
    return done{};
}

net::task<scoring_outcome> item_scorer::score(scoring_call call, policy::priority urgency,
                                              std::shared_ptr<cancellation_token> cancellation)
{
    scoring_outcome outcome{scoring_error("no route matches the scoring call")};
    const auto* found = find_route(current_(), call.host, net::path_of(call.path));
    if (found == nullptr) {
        co_return outcome;
    }
    const auto chosen = *found;
    caller_request request;
    request.http.method = "POST";
    request.http.target = call.path;
    request.http.fields.add("Host", call.host);
    // The encoding was checked when the batch was accepted.
    auto body = decode_base64(call.body_base64);
    request.http.body = ok(body) ? std::move(value(body)) : std::string{};
    request.host = call.host;
    request.attempt_id = call.id;
    request.timeout = call_timeout;
    request.arrived_at = steady::now();
    const auto reply = co_await calls_.make_internal_call(chosen, std::move(request), urgency, cancellation);
    outcome.internal_errors = reply.internal_errors;
    outcome.max_internal_errors = chosen.attempts;
    if (!ok(reply.response)) {
        outcome.score = failure(reply.response);
        co_return outcome;
    }
    const auto& response = value(reply.response);
    const auto marks = protocol_.parse_metadata(response.status, response.fields, call.id);
    if (response.status >= 200 && response.status < 300 && !marks.authentication_code.empty()) {
        outcome.score = marks.authentication_code;
    }
    else {
        outcome.score =
            scoring_error("scoring call returned no score, status " + std::to_string(response.status));
    }
    co_return outcome;
}

} // namespace vanillagauge::gateway
