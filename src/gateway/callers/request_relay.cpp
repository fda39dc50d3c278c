#include "gateway/callers/request_relay.hpp"

#include "net/async_condition.hpp"
#include "observe/log.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

/// A hub accepts or declines a request by memory alone, in a few milliseconds including the network.
constexpr milliseconds acceptance_time{100};

/// While it runs a request, a hub writes a space this often, which JSON ignores. So a request that waits in
/// the hub's queue is told from a hub that has stopped responding.
constexpr milliseconds sign_of_life_interval{100};
/// A busy VM with a tenth of a core stops for up to 300 ms.
constexpr milliseconds max_silence{500};

/// Shorter than the 60 s after which a gateway closes an idle connection of a peer.
constexpr milliseconds hub_idle_time{50000};

/// The forwarder's limit on a replica's response, in base64, with its fields.
constexpr std::size_t max_answer_bytes = 88U << 20U;

/// While an answer is read, its text may be held twice; then it is held as text, parsed and decoded.
constexpr std::size_t answer_copies = 3;

const char* cause_of(const net::http_failure& failed)
{
    switch (failed.kind) {
    case net::failure_kind::timeout:
        return "silent";
    case net::failure_kind::malformed:
        return "malformed";
    case net::failure_kind::cancelled:
        return "cancelled";
    case net::failure_kind::no_room:
        return "no room";
    case net::failure_kind::refused:
    case net::failure_kind::closed:
        break;
    }
    return "lost";
}

error declined(std::string why)
{
    return {error_code::conflict, run_state::not_run, std::move(why)};
}

net::http_response plain_response(int status, std::string body)
{
    return {status, {}, std::move(body)};
}

// Each part of the body has its own deadline, since a hub that is alive writes at least each 100 ms.
net::task<net::http_result<std::string>> read_answer(net::http_connection& connection, time_point until,
                                                     net::room_taker take_room)
{
    std::string text;
    while (true) {
        auto read = co_await connection.read_piece(std::min(until, steady::now() + max_silence));
        if (auto* failed = std::get_if<net::http_failure>(&read)) {
            co_return std::move(*failed);
        }
        auto& piece = std::get<net::body_piece>(read);
        text += piece.bytes;
        if (text.size() > max_answer_bytes) {
            co_return net::http_failure{net::failure_kind::malformed, true, "the answer exceeds the limit"};
        }
        if (take_room && !take_room(answer_copies * text.size())) {
            co_return net::http_failure{net::failure_kind::no_room, true, "no memory for the answer"};
        }
        if (piece.last) {
            co_return text;
        }
    }
}

} // namespace

struct request_relay::accepted_request {
    route chosen;
    caller_request request;
    int attempts = 1;
};

/// Shared by the task that runs the request and the one that responds to the peer.
struct request_relay::served_run {
    explicit served_run(net::loop& loop) : changed(loop) {}

    net::async_condition changed;
    std::optional<relayed_answer> answer{};
    std::shared_ptr<cancellation_token> ticket = std::make_shared<cancellation_token>();
};

request_relay::request_relay(net::loop& loop, forwarder& forwarding, const fleet_view& fleet,
                             const target_registry& targets, observe::metrics& counts,
                             std::function<const configuration&()> current,
                             std::function<net::task<void>()> refresh, std::size_t max_direct_pairs)
    : loop_(loop), forwarding_(forwarding), fleet_(fleet), targets_(targets), counts_(counts),
      current_(std::move(current)), refresh_(std::move(refresh)), choice_(fleet.self(), max_direct_pairs)
{
}

std::optional<relay_hub> request_relay::choose(const std::string& service) const
{
    policy::relay_situation known;
    known.replicas = targets_.of_service(service).size();
    for (const auto& peer : fleet_.peers()) {
        known.gateways += !peer.front_address.empty() && !peer.draining ? 1 : 0;
    }
    for (const auto& vm : fleet_.ranked_owners("relay/" + service)) {
        if (const auto* peer = fleet_.find_peer(vm)) {
            known.ranked.push_back({vm, peer->failure_domain});
        }
    }
    const auto hub = choice_.choose(known, steady::now());
    const auto* peer = hub ? fleet_.find_peer(*hub) : nullptr;
    if (peer == nullptr || peer->relay_address.empty()) {
        return std::nullopt;
    }
    return relay_hub{peer->vm, peer->relay_address};
}

net::task<relay_outcome> request_relay::exchange(relay_hub hub, relayed_request request, time_point until,
                                                 relay_callbacks caller)
{
    auto& known = pools_[hub.address];
    if (!known) {
        known = std::make_shared<net::connection_pool>(loop_, hub.address);
    }
    const auto pool = known;
    const auto accepted_by = std::min(until, steady::now() + acceptance_time);
    auto taken = co_await pool->acquire(accepted_by);
    if (std::holds_alternative<net::http_failure>(taken)) {
        co_return relay_failure{"unreachable", false};
    }
    const auto connection = std::get<std::shared_ptr<net::http_connection>>(taken);
    if (!caller.on_connected(connection)) {
        co_return relay_failure{"cancelled", false};
    }
    request.time_left = milliseconds_between(steady::now(), until);
    auto text = to_text(request);
    if (!ok(text)) {
        pool->release(connection, hub_idle_time);
        co_return relay_failure{"unencodable", false};
    }
    net::http_request sent;
    sent.method = "POST";
    sent.target = forward_path;
    sent.fields.add("Host", hub.address);
    sent.body = std::move(value(text));
    const auto written = co_await connection->send(sent, accepted_by);
    if (const auto* failed = std::get_if<net::http_failure>(&written)) {
        co_return relay_failure{cause_of(*failed)};
    }
    const auto read = co_await connection->read_head(accepted_by);
    if (const auto* failed = std::get_if<net::http_failure>(&read)) {
        co_return relay_failure{cause_of(*failed)};
    }
    auto reading = read_answer(*connection, until, caller.take_room);
    const auto body = co_await std::move(reading);
    const auto* failed_body = std::get_if<net::http_failure>(&body);
    if (std::get<net::response_head>(read).status != 200) {
        if (failed_body == nullptr) {
            pool->release(connection, hub_idle_time);
        }
        co_return relay_failure{"declined", false};
    }
    if (failed_body != nullptr) {
        co_return relay_failure{cause_of(*failed_body)};
    }
    auto answer = relayed_answer_from_text(std::get<std::string>(body));
    if (!ok(answer)) {
        co_return relay_failure{"malformed"};
    }
    if (value(answer).attempt_id != request.attempt_id) {
        co_return relay_failure{"foreign"};
    }
    pool->release(connection, hub_idle_time);
    co_return std::move(value(answer));
}

// Load pattern: a hub that is killed or cut off has a few requests of each gateway. They go on at once, and
// the later ones do not wait for it.
net::task<relay_outcome> request_relay::send(relay_hub hub, relayed_request request, time_point until,
                                             relay_callbacks caller)
{
    const auto id = request.attempt_id;
    const auto began = steady::now();
    std::shared_ptr<net::http_connection> used;
    relay_callbacks observed = caller;
    observed.on_connected = [&](std::shared_ptr<net::http_connection> connection) {
        used = connection;
        return caller.on_connected(std::move(connection));
    };
    auto asking = exchange(hub, std::move(request), until, observed);
    auto outcome = co_await std::move(asking);
    const auto* failed = std::get_if<relay_failure>(&outcome);
    const std::string cause = failed != nullptr ? failed->cause : "answered";
    if (failed != nullptr) {
        if (used && failed->in_doubt) {
            used->close(); // so that the hub cancels the request
        }
        const auto now = steady::now();
        const bool hub_failed =
            cause != "cancelled" && cause != "declined" && cause != "unencodable" && cause != "no room";
        if (hub_failed && now < until) {
            choice_.exclude(hub.vm, now);
            pools_.erase(hub.address);
        }
        counts_.add("relay_fallbacks_total{cause=\"" + cause + "\"}");
    }
    else {
        counts_.add("requests_relayed_total");
    }
    const auto took = std::chrono::duration_cast<milliseconds>(steady::now() - began);
    observe::log(
        failed != nullptr ? observe::log_level::warning : observe::log_level::info, "request_relayed",
        {{"request", id}, {"hub", hub.vm}, {"took_ms", std::int64_t{took.count()}}, {"outcome", cause}});
    co_return outcome;
}

result<request_relay::accepted_request> request_relay::accept(relayed_request request) const
{
    const auto& current = current_();
    const auto* chosen = route_named(current, request.route);
    if (chosen == nullptr || chosen->kind != route_kind::idempotent) {
        return declined("no plain idempotent route of this name");
    }
    const bool has_service =
        std::any_of(chosen->services.begin(), chosen->services.end(),
                    [&request](const weighted_service& known) { return known.service == request.service; });
    if (!has_service) {
        return declined("the route has another service");
    }
    if (forwarding_.stopping()) {
        return declined("the gateway stops");
    }
    if (targets_.of_service(request.service).empty()) {
        return declined("no usable replica is known");
    }
    const bool needs_organisation = current.organisations && !chosen->is_public;
    const auto* acts_for =
        needs_organisation ? current.organisations->find_by_name(request.organisation) : nullptr;
    if (needs_organisation != (acts_for != nullptr) || request.organisation.empty() == needs_organisation) {
        return declined("the organisation is not the one of this configuration");
    }
    accepted_request accepted{*chosen, {}, std::min(request.attempts, chosen->attempts)};
    accepted.chosen.services = {{request.service, 1}};
    auto& run = accepted.request;
    run.http = std::move(request.http);
    run.host = std::move(request.host);
    run.attempt_id = std::move(request.attempt_id);
    run.timeout = request.time_left;
    run.arrived_at = steady::now();
    if (acts_for != nullptr) {
        run.acts_for = *acts_for;
    }
    return accepted;
}

net::task<void> request_relay::run(std::shared_ptr<served_run> served, accepted_request accepted)
{
    served->answer = co_await forwarding_.run_for_peer(
        std::move(accepted.chosen), std::move(accepted.request), accepted.attempts, served->ticket);
    served->changed.notify();
}

net::task<void> request_relay::serve(const net::http_request& request, net::responder& answer)
{
    const auto arrived = steady::now();
    auto decoded = relayed_request_from_text(request.body);
    if (!ok(decoded)) {
        counts_.add("requests_for_peers_total{outcome=\"malformed\"}");
        observe::log(observe::log_level::warning, "relayed_request_malformed",
                     {{"why", describe(failure(decoded))}});
        co_await answer.send(plain_response(400, failure(decoded).detail));
        co_return;
    }
    // A replica or a route that has just been removed must not be used by a request that comes this way.
    co_await refresh_();
    const auto id = value(decoded).attempt_id;
    auto accepted = accept(std::move(value(decoded)));
    if (!ok(accepted)) {
        counts_.add("requests_for_peers_total{outcome=\"declined\"}");
        observe::log(observe::log_level::info, "relayed_request_declined",
                     {{"request", id}, {"why", failure(accepted).detail}});
        co_await answer.send(plain_response(409, failure(accepted).detail));
        co_return;
    }
    // The time spent on the refresh is the caller's.
    value(accepted).request.arrived_at = arrived;
    net::http_fields no_fields;
    if (!co_await answer.begin(200, std::move(no_fields))) {
        co_return;
    }
    const auto served = std::make_shared<served_run>(loop_);
    answer.on_client_disconnect([served] { served->ticket->cancel(); });
    net::start(loop_, run(served, std::move(value(accepted))));
    while (!served->answer) {
        co_await served->changed.wait_until(steady::now() + sign_of_life_interval);
        if (!served->answer) {
            co_await answer.write(" ");
        }
    }
    counts_.add("requests_for_peers_total{outcome=\"served\"}");
    if (co_await answer.write(to_text(*served->answer))) {
        co_await answer.finish();
    }
    else {
        answer.abort();
    }
}

} // namespace vanillagauge::gateway
