#include "gateway/peer_relay.hpp"

#include "gateway/untrusted_json.hpp"
#include "observe/log.hpp"
#include "json/json.hpp"

#include <algorithm>
#include <random>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// Enough for a slow store, also through a peer.
constexpr milliseconds call_timeout{3000};
constexpr milliseconds relay_timeout{1500};

/// After a direct failure, time during which peers are tried first: every refused attempt costs a call.
constexpr milliseconds direct_retry_interval{1000};

constexpr std::size_t max_relays = 2;
constexpr std::size_t max_response_bytes = 4U << 20U;
constexpr milliseconds idle_time{15000};

error unavailable(run_state ran, std::string detail)
{
    return {error_code::unavailable, ran, std::move(detail)};
}

error known_unavailable()
{
    return unavailable(run_state::not_run, "the store has just failed on all ways to it");
}

/// Whether the store did not answer. An answer that cannot be read shows that it is there, and another way
/// brings the same one.
bool is_unanswered(const error& failed)
{
    return failed.code == error_code::unavailable && failed.ran != run_state::ran;
}

bool is_unanswered(const result<store_answer>& outcome)
{
    return !ok(outcome) && is_unanswered(failure(outcome));
}

/// The failure of one way to the store, which does not undo what an earlier way may have done.
error after(run_state earlier, error failed)
{
    failed.ran = std::max(earlier, failed.ran);
    return failed;
}

} // namespace

peer_relay::peer_relay(net::loop& loop, object_store& direct, const fleet_view& fleet)
    : loop_(loop), direct_(direct), fleet_(fleet)
{
}

void peer_relay::record_direct_result(const error* failed)
{
    const bool works = failed == nullptr || !is_unanswered(*failed);
    if (works && direct_failed_) {
        observe::log(observe::log_level::info, "store_reached_again", {});
    }
    else if (!works && !direct_failed_) {
        observe::log(observe::log_level::warning, "store_lost", {{"why", describe(*failed)}});
    }
    direct_failed_ = !works;
    direct_retry_ = steady::now() + direct_retry_interval;
}

std::vector<std::string> peer_relay::relay_candidates() const
{
    std::vector<std::string> addresses;
    for (const auto& peer : fleet_.peers()) {
        if (peer.vm != fleet_.self() && !peer.relay_address.empty()) {
            addresses.push_back(peer.relay_address);
        }
    }
    thread_local std::mt19937_64 random{std::random_device{}()};
    std::shuffle(addresses.begin(), addresses.end(), random);
    const auto good = std::find(addresses.begin(), addresses.end(), last_good_);
    if (good != addresses.end()) {
        std::iter_swap(addresses.begin(), good);
    }
    if (addresses.size() > max_relays) {
        addresses.resize(max_relays);
    }
    return addresses;
}

net::task_of<json> peer_relay::call_peer(std::string address, std::string path, json body, time_point until)
{
    auto text = encode(body);
    if (!ok(text)) {
        co_return failure(text);
    }
    body = json(); // held as text from here on
    auto& pool = pools_[address];
    if (!pool) {
        pool = std::make_unique<net::connection_pool>(loop_, address);
    }
    auto taken = co_await pool->acquire(until);
    if (const auto* failure = std::get_if<net::http_failure>(&taken)) {
        co_return unavailable(run_state::not_run, failure->detail);
    }
    const auto connection = std::get<std::shared_ptr<net::http_connection>>(taken);
    net::http_request request;
    request.method = "POST";
    request.target = std::move(path);
    request.fields.add("Host", address);
    request.body = std::move(value(text));
    auto answer = co_await net::exchange(*connection, request, max_response_bytes, until);
    if (const auto* failure = std::get_if<net::http_failure>(&answer)) {
        co_return unavailable(run_state::in_doubt, failure->detail);
    }
    pool->release(connection, idle_time);
    const auto& response = std::get<net::http_response>(answer);
    auto parsed = parse_peer_json(response.body);
    if (response.status != 200 || parsed.is_discarded()) {
        co_return unavailable(run_state::in_doubt,
                              "the peer answered with status " + std::to_string(response.status));
    }
    co_return parsed;
}

net::task<net::http_response> peer_relay::serve(const net::http_request& request)
{
    net::http_response response;
    auto wanted = store_call_from_json(parse_peer_json(request.body));
    if (!ok(wanted)) {
        observe::log(observe::log_level::warning, "relay_call_refused", {{"why", describe(failure(wanted))}});
        response.status = 400;
        response.body = failure(wanted).detail;
        co_return response;
    }
    const auto outcome = co_await call_directly(std::move(value(wanted)));
    response.body = encode_any(to_json(outcome));
    co_return response;
}

net::task_of<store_answer> peer_relay::call_directly(store_call wanted)
{
    auto outcome = co_await run(direct_, std::move(wanted));
    record_direct_result(std::get_if<error>(&outcome));
    co_return outcome;
}

// A peer whose answer is lost may have written: what a later peer says of its own attempt does not change
// that.
net::task_of<store_answer> peer_relay::call_peers(const store_call& wanted, time_point until)
{
    auto last = unavailable(run_state::not_run, "no gateway reaches the store");
    for (const auto& address : relay_candidates()) {
        const auto now = steady::now();
        if (now >= until) {
            break;
        }
        auto body = to_json(wanted);
        const auto answer =
            co_await call_peer(address, "/relay", std::move(body), std::min(until, now + relay_timeout));
        auto outcome = ok(answer) ? store_answer_from_json(wanted.operation, value(answer))
                                  : result<store_answer>(failure(answer));
        if (!is_unanswered(outcome)) {
            last_good_ = address;
            co_return outcome;
        }
        last = after(last.ran, failure(outcome));
    }
    last_good_.clear();
    co_return last;
}

// Every call is safe to repeat: reads, creations under a name that identifies the content, and updates
// conditional on a revision. If an earlier attempt is applied late, its condition no longer holds.
net::task_of<store_answer> peer_relay::call_all_ways(store_call wanted)
{
    const auto until = steady::now() + call_timeout;
    const bool peers_first = direct_failed_ && steady::now() < direct_retry_;
    auto tried = run_state::not_run;
    if (peers_first) {
        auto outcome = co_await call_peers(wanted, until);
        if (!is_unanswered(outcome)) {
            co_return outcome;
        }
        tried = failure(outcome).ran;
    }
    auto outcome = co_await call_directly(wanted);
    if (!is_unanswered(outcome)) {
        co_return outcome;
    }
    const auto direct = after(tried, failure(outcome));
    if (peers_first) {
        co_return direct;
    }
    outcome = co_await call_peers(wanted, until);
    if (!is_unanswered(outcome)) {
        co_return outcome;
    }
    co_return after(direct.ran, failure(outcome));
}

net::task_of<store_answer> peer_relay::call(store_call wanted)
{
    if (!breaker_.admits(steady::now())) {
        co_return known_unavailable();
    }
    auto outcome = co_await call_all_ways(std::move(wanted));
    if (is_unanswered(outcome)) {
        breaker_.on_unreachable(steady::now());
    }
    else {
        breaker_.on_answered();
    }
    co_return outcome;
}

net::task_of<stored_object> peer_relay::call_object(store_call wanted)
{
    auto outcome = co_await call(std::move(wanted));
    if (!ok(outcome)) {
        co_return failure(outcome);
    }
    co_return std::get<stored_object>(std::move(value(outcome)));
}

net::task_of<stored_object> peer_relay::read(std::string kind, std::string name)
{
    return call_object({store_operation::read, std::move(kind), std::move(name)});
}

net::task_of<object_listing> peer_relay::list(std::string kind, std::string after)
{
    store_call wanted{store_operation::list, std::move(kind), std::move(after)};
    auto outcome = co_await call(std::move(wanted));
    if (!ok(outcome)) {
        co_return failure(outcome);
    }
    co_return std::get<object_listing>(std::move(value(outcome)));
}

net::task_of<done> peer_relay::ping(std::string kind, milliseconds within)
{
    return direct_.ping(std::move(kind), within);
}

// A watch goes directly only, so it cannot tell whether a peer reaches the store again: it must not take the
// trial of a call that can.
net::task_of<object_changes> peer_relay::watch(std::string kind, std::uint64_t since, milliseconds wait)
{
    if (breaker_.away()) {
        co_return known_unavailable();
    }
    auto outcome = co_await direct_.watch(std::move(kind), since, wait);
    record_direct_result(std::get_if<error>(&outcome));
    co_return outcome;
}

net::task_of<stored_object> peer_relay::create(std::string kind, std::string name, json value)
{
    return call_object({store_operation::create, std::move(kind), std::move(name), std::move(value)});
}

net::task_of<stored_object> peer_relay::replace(std::string kind, std::string name, json value,
                                                std::uint64_t revision)
{
    return call_object(
        {store_operation::replace, std::move(kind), std::move(name), std::move(value), revision});
}

net::task_of<stored_object> peer_relay::set_status(std::string kind, std::string name, json status)
{
    return call_object({store_operation::set_status, std::move(kind), std::move(name), std::move(status)});
}

} // namespace vanillagauge::gateway
