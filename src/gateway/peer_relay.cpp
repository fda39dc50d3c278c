#include "gateway/peer_relay.hpp"

#include "observe/log.hpp"

#include <algorithm>
#include <random>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// The store answers in some 4 ms, 90 times slower on its worst days; one call through a peer adds two hops.
constexpr milliseconds call_time{3000};
constexpr milliseconds relay_time{1500};

/// How long peers are asked first after the direct way failed: each try that is refused costs a call.
constexpr milliseconds direct_retry_every{1000};

constexpr std::size_t most_relays = 2;
constexpr std::size_t largest_answer = 4U << 20U;
constexpr milliseconds idle_time{15000};

error unavailable(run_state ran, std::string detail)
{
    return {error_code::unavailable, ran, std::move(detail)};
}

json to_json(const error& failure)
{
    return {{"code", std::string(name(failure.code))},
            {"ran", std::string(name(failure.ran))},
            {"detail", failure.detail},
            {"current", failure.current}};
}

error error_from_json(const json& text)
{
    return {parse_error_code(text.at("code").get<std::string>()),
            parse_run_state(text.at("ran").get<std::string>()),
            text.at("detail").get<std::string>(),
            milliseconds{0},
            {},
            text.at("current").get<std::string>()};
}

json to_json(const object_listing& listing)
{
    json objects = json::array();
    for (const auto& object : listing.objects) {
        objects.push_back(to_json(object));
    }
    return {{"objects", std::move(objects)}, {"more", listing.more}, {"as_of", listing.as_of}};
}

object_listing listing_from_json(const json& text)
{
    object_listing listing;
    for (const auto& object : text.at("objects")) {
        listing.objects.push_back(object_from_json(object));
    }
    listing.more = text.at("more").get<bool>();
    listing.as_of = text.at("as_of").get<std::uint64_t>();
    return listing;
}

/// The relay serves what may be asked through it; a watch is not: it would wait at the relay.
net::task_of<json> run_call(object_store& store, json question)
{
    const auto operation = question.at("op").get<std::string>();
    auto kind = question.at("kind").get<std::string>();
    auto object = question.at("name").get<std::string>();
    if (operation == "list") {
        const auto listing = co_await store.list(std::move(kind), std::move(object));
        if (!ok(listing)) {
            co_return failure(listing);
        }
        co_return to_json(value(listing));
    }
    result<stored_object> outcome = error{};
    if (operation == "read") {
        outcome = co_await store.read(std::move(kind), std::move(object));
    }
    else if (operation == "create") {
        outcome = co_await store.create(std::move(kind), std::move(object), std::move(question["value"]));
    }
    else if (operation == "replace") {
        const auto revision = question.at("revision").get<std::uint64_t>();
        outcome = co_await store.replace(std::move(kind), std::move(object), std::move(question["value"]),
                                         revision);
    }
    else {
        outcome = co_await store.set_status(std::move(kind), std::move(object), std::move(question["value"]));
    }
    if (!ok(outcome)) {
        co_return failure(outcome);
    }
    co_return to_json(value(outcome));
}

net::task_of<stored_object> as_object(net::task_of<json> call)
{
    const auto answer = co_await std::move(call);
    if (!ok(answer)) {
        co_return failure(answer);
    }
    co_return object_from_json(value(answer));
}

bool store_is_away(const result<json>& outcome)
{
    return !ok(outcome) && failure(outcome).code == error_code::unavailable;
}

} // namespace

json to_json(const stored_object& object)
{
    return {{"name", object.name},
            {"revision", object.revision},
            {"value", object.value},
            {"status", object.status}};
}

stored_object object_from_json(const json& text)
{
    return {text.at("name").get<std::string>(), text.at("revision").get<std::uint64_t>(), text.at("value"),
            text.at("status")};
}

peer_relay::peer_relay(net::loop& loop, object_store& direct, const fleet_view& fleet)
    : loop_(loop), direct_(direct), fleet_(fleet)
{
}

void peer_relay::note_direct(const error* failed)
{
    const bool works = failed == nullptr || failed->code != error_code::unavailable;
    if (works && direct_failed_) {
        observe::log(observe::log_level::info, "store_reached_again", {});
    }
    else if (!works && !direct_failed_) {
        observe::log(observe::log_level::warning, "store_lost", {{"why", describe(*failed)}});
    }
    direct_failed_ = !works;
    direct_retry_ = steady::now() + direct_retry_every;
}

std::vector<std::string> peer_relay::relays() const
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
    if (addresses.size() > most_relays) {
        addresses.resize(most_relays);
    }
    return addresses;
}

net::task_of<json> peer_relay::ask(std::string address, std::string path, json question, time_point until)
{
    auto& pool = pools_[address];
    if (!pool) {
        pool = std::make_unique<net::connection_pool>(loop_, address);
    }
    auto taken = co_await pool->take(until);
    if (const auto* failure = std::get_if<net::http_failure>(&taken)) {
        co_return unavailable(run_state::not_run, failure->detail);
    }
    const auto connection = std::get<std::shared_ptr<net::http_connection>>(taken);
    net::http_request request;
    request.method = "POST";
    request.target = std::move(path);
    request.fields.add("Host", address);
    request.body = question.dump();
    auto answer = co_await net::exchange(*connection, request, largest_answer, until);
    if (const auto* failure = std::get_if<net::http_failure>(&answer)) {
        co_return unavailable(run_state::in_doubt, failure->detail);
    }
    pool->give_back(connection, idle_time);
    const auto& response = std::get<net::http_response>(answer);
    auto parsed = json::parse(response.body, nullptr, false);
    if (response.status != 200 || parsed.is_discarded()) {
        co_return unavailable(run_state::in_doubt,
                              "the peer answered with status " + std::to_string(response.status));
    }
    co_return parsed;
}

net::task<net::http_response> peer_relay::serve(const net::http_request& request)
{
    const auto question = json::parse(request.body, nullptr, false);
    net::http_response response;
    if (!question.is_object() || !question.contains("op") || !question.contains("kind") ||
        !question.contains("name")) {
        response.status = 400;
        co_return response;
    }
    const auto outcome = co_await call_directly(question);
    json answer;
    if (ok(outcome)) {
        answer["done"] = value(outcome);
    }
    else {
        answer["failed"] = to_json(failure(outcome));
    }
    response.body = answer.dump();
    co_return response;
}

net::task_of<json> peer_relay::call_directly(json question)
{
    auto outcome = co_await run_call(direct_, std::move(question));
    note_direct(std::get_if<error>(&outcome));
    co_return outcome;
}

net::task_of<json> peer_relay::call_peers(json question, time_point until)
{
    result<json> last = unavailable(run_state::not_run, "no gateway reaches the store");
    for (const auto& address : relays()) {
        const auto now = steady::now();
        if (now >= until) {
            break;
        }
        auto answer = co_await ask(address, "/relay", question, std::min(until, now + relay_time));
        if (!ok(answer)) {
            last = failure(answer);
        }
        else if (const auto done = value(answer).find("done"); done != value(answer).end()) {
            last_good_ = address;
            co_return *done;
        }
        else {
            last = error_from_json(value(answer).at("failed"));
            if (!store_is_away(last)) {
                last_good_ = address;
                co_return last;
            }
        }
    }
    last_good_.clear();
    co_return last;
}

// Every call here may be made again: reads, creations under a name that says what is created, and updates
// that name the revision they replace. A first try that is done late finds its condition gone.
net::task_of<json> peer_relay::call(json question, time_point until)
{
    const bool peers_first = direct_failed_ && steady::now() < direct_retry_;
    auto doubt = run_state::not_run;
    if (peers_first) {
        auto outcome = co_await call_peers(question, until);
        if (!store_is_away(outcome)) {
            co_return outcome;
        }
        doubt = failure(outcome).ran;
    }
    auto outcome = co_await call_directly(question);
    if (!store_is_away(outcome)) {
        co_return outcome;
    }
    doubt = std::max(doubt, failure(outcome).ran);
    if (!peers_first) {
        outcome = co_await call_peers(std::move(question), until);
        if (!store_is_away(outcome)) {
            co_return outcome;
        }
        doubt = std::max(doubt, failure(outcome).ran);
    }
    auto reason = failure(outcome);
    reason.ran = doubt;
    co_return reason;
}

net::task_of<stored_object> peer_relay::read(std::string kind, std::string name)
{
    json question{{"op", "read"}, {"kind", std::move(kind)}, {"name", std::move(name)}};
    return as_object(call(std::move(question), steady::now() + call_time));
}

net::task_of<object_listing> peer_relay::list(std::string kind, std::string after)
{
    json question{{"op", "list"}, {"kind", std::move(kind)}, {"name", std::move(after)}};
    const auto answer = co_await call(std::move(question), steady::now() + call_time);
    if (!ok(answer)) {
        co_return failure(answer);
    }
    co_return listing_from_json(value(answer));
}

net::task_of<done> peer_relay::check(std::string kind, milliseconds within)
{
    return direct_.check(std::move(kind), within);
}

net::task_of<object_changes> peer_relay::watch(std::string kind, std::uint64_t since, milliseconds wait)
{
    auto outcome = co_await direct_.watch(std::move(kind), since, wait);
    note_direct(std::get_if<error>(&outcome));
    co_return outcome;
}

net::task_of<stored_object> peer_relay::create(std::string kind, std::string name, json value)
{
    json question{{"op", "create"}, {"kind", std::move(kind)}, {"name", std::move(name)}};
    question["value"] = std::move(value);
    return as_object(call(std::move(question), steady::now() + call_time));
}

net::task_of<stored_object> peer_relay::replace(std::string kind, std::string name, json value,
                                                std::uint64_t revision)
{
    json question{{"op", "replace"}, {"kind", std::move(kind)}, {"name", std::move(name)}};
    question["value"] = std::move(value);
    question["revision"] = revision;
    return as_object(call(std::move(question), steady::now() + call_time));
}

net::task_of<stored_object> peer_relay::set_status(std::string kind, std::string name, json status)
{
    json question{{"op", "status"}, {"kind", std::move(kind)}, {"name", std::move(name)}};
    question["value"] = std::move(status);
    return as_object(call(std::move(question), steady::now() + call_time));
}

} // namespace vanillagauge::gateway
