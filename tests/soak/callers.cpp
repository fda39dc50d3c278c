#include "callers.hpp"

#include <algorithm>

namespace vanillagauge::soak {

using nlohmann::json;

namespace {

constexpr std::uint64_t mixed_callers = 10;
constexpr std::uint64_t steady_callers_a_gateway = 2;
/// Of the draws of callers that stay with an address; below it lie those of the others and of trainers.
constexpr std::uint64_t first_steady_caller = 1000;
constexpr std::uint64_t trainer_count = 2;
constexpr std::size_t items_a_batch = 6;
constexpr milliseconds deadline{3000};
constexpr milliseconds connect_time{1000};
constexpr std::size_t largest_answer = 8U << 20U;
constexpr int submit_tries = 12;
constexpr seconds time_of_step{15};
/// RecoveryS of the deployments, counted from the moment at which all runs again.
constexpr seconds recovery_time{12};
/// An item may wait for its MaxAgeS of 20 s.
constexpr seconds batch_time{30};
constexpr milliseconds look_every{100};
constexpr milliseconds longest_pause{60};
/// A connection without a request for so long is met by all steps of a stop.
constexpr milliseconds longest_idle{1500};

net::http_request make_request(const std::string& path, const std::string& id, const std::string& body)
{
    net::http_request request;
    request.method = "POST";
    request.target = path;
    request.fields.add("Host", "h");
    request.fields.add("Attempt-Id", id);
    request.fields.add("Deadline-Ms", std::to_string(deadline.count()));
    request.body = body;
    return request;
}

net::http_request make_batch(const std::string& id, const batch_record& batch)
{
    json items = json::array();
    for (const auto& name : batch.items) {
        json item{{"Id", name}, {"Path", "/lots/run"}, {"Body", "aGk="}, {"Group", "g" + name}};
        item["Headers"] = {{"Token-Counts", "5,9"}, {"Model", "m"}};
        items.push_back(std::move(item));
    }
    json body{{"Step", 0}, {"Model", "m"}, {"MinVersion", batch.least_version}, {"DesiredCount", 6}};
    body["Items"] = std::move(items);
    return make_request("/lots/" + id, id, body.dump());
}

net::task<net::http_result<net::http_response>> read_answer(net::http_connection& connection, bool& begun,
                                                            time_point until)
{
    auto head = co_await connection.read_head(until);
    if (auto* failure = std::get_if<net::http_failure>(&head)) {
        co_return std::move(*failure);
    }
    begun = true;
    auto body = co_await connection.read_body(largest_answer, until);
    if (auto* failure = std::get_if<net::http_failure>(&body)) {
        co_return std::move(*failure);
    }
    auto& found = std::get<net::response_head>(head);
    co_return net::http_response{found.status, std::move(found.fields),
                                 std::move(std::get<std::string>(body))};
}

} // namespace

callers::callers(net::loop& loop, const world& around, ledger& book, gateway_addresses gateways,
                 std::uint64_t seed)
    : loop_(loop), world_(around), book_(book), gateways_(std::move(gateways)), seed_(seed)
{
}

void callers::start()
{
    for (std::uint64_t number = 1; number <= mixed_callers; ++number) {
        net::start(loop_, call_on(number, connection_habit::mixed));
    }
    auto steady_number = first_steady_caller;
    for (std::uint64_t left = gateways_.fronts.size() * steady_callers_a_gateway; left > 0; --left) {
        net::start(loop_, call_on(++steady_number, connection_habit::keeps));
        net::start(loop_, call_on(++steady_number, connection_habit::connects));
    }
    for (std::uint64_t number = 1; number <= trainer_count; ++number) {
        net::start(loop_, train(number));
    }
}

net::task<net::http_result<net::http_response>> callers::exchange(std::string address,
                                                                  net::http_request request)
{
    net::http_connection connection(loop_);
    const auto connected = co_await connection.connect(address, steady::now() + connect_time);
    if (const auto* failed = std::get_if<net::http_failure>(&connected)) {
        co_return *failed;
    }
    co_return co_await net::exchange(connection, request, largest_answer,
                                     steady::now() + deadline + connect_time);
}

/// An address that the directory of some gateway names; empty where none answers.
net::task<std::string> callers::resolve(draw& drawn)
{
    net::http_request question;
    question.target = "/api/resolve?Name=h&Region=r&Zone=z1";
    question.fields.add("Host", "directory");
    const auto asked = drawn.one_of(gateways_.directories);
    const auto outcome = co_await exchange(asked, question);
    const auto* response = std::get_if<net::http_response>(&outcome);
    if (response == nullptr || response->status != 200) {
        co_return std::string{};
    }
    const auto page = json::parse(response->body, nullptr, false);
    const auto addresses = page.value("Addresses", std::vector<std::string>{});
    if (addresses.empty()) {
        co_return std::string{};
    }
    co_return drawn.one_of(addresses);
}

net::task<std::unique_ptr<net::http_connection>> callers::open(connection_habit habit, std::string& address,
                                                               draw& drawn)
{
    if (address.empty() || habit == connection_habit::mixed) {
        address = co_await resolve(drawn);
    }
    if (address.empty()) {
        co_return nullptr;
    }
    auto opened = std::make_unique<net::http_connection>(loop_);
    const auto connected = co_await opened->connect(address, steady::now() + connect_time);
    if (!std::holds_alternative<done>(connected)) {
        address.clear();
        co_return nullptr;
    }
    co_return opened;
}

std::string callers::gateway_at(const std::string& address) const
{
    const auto found = std::find(gateways_.fronts.begin(), gateways_.fronts.end(), address);
    return "g" + std::to_string(found - gateways_.fronts.begin());
}

// As net::exchange, but tells the ledger of a connection that the gateway ended before a whole answer.
net::task<net::http_result<net::http_response>>
callers::ask(net::http_connection& connection, const std::string& address, const net::http_request& request)
{
    const std::string id(request.fields.find("Attempt-Id"));
    const auto until = steady::now() + deadline + connect_time;
    cut_request cut{id, gateway_at(address), steady::now()};
    net::http_result<net::http_response> outcome;
    const auto sent = co_await connection.send(request, until);
    if (const auto* failure = std::get_if<net::http_failure>(&sent)) {
        outcome = *failure;
    }
    else {
        cut.sent_at = steady::now();
        outcome = co_await read_answer(connection, cut.answer_begun, until);
    }
    const auto* failure = std::get_if<net::http_failure>(&outcome);
    if (failure != nullptr && failure->kind == net::failure_kind::closed) {
        cut.ended_at = steady::now();
        cut.replica_failed = world_.replica_failed(id, cut.sent_at);
        book_.cut(std::move(cut));
    }
    co_return outcome;
}

// One caller on one connection at a time; each attempt has its own id and is told in full.
net::task<void> callers::call_on(std::uint64_t number, connection_habit habit)
{
    draw drawn(seed_, number);
    std::string address;
    std::unique_ptr<net::http_connection> connection;
    for (int turn = 1; !world_.is_calm(); ++turn) {
        if (!connection) {
            connection = co_await open(habit, address, drawn);
        }
        if (!connection) {
            co_await net::sleep_for(loop_, look_every);
            continue;
        }
        const auto kind =
            drawn.one_of<request_kind>({request_kind::safe, request_kind::unsafe, request_kind::stream});
        const auto id = "c" + std::to_string(number) + "-" + std::to_string(turn);
        const auto body = "body of " + id;
        std::string path = "/once/x";
        if (kind == request_kind::safe) {
            path = "/safe/x";
        }
        else if (kind == request_kind::stream) {
            path = "/flow/x";
        }
        auto request = make_request(path, id, body);
        if (kind == request_kind::stream) {
            request.fields.add("Token-Counts", "5,9");
            request.fields.add("Model", "m");
        }
        book_.sent(id, kind, body);
        const auto outcome = co_await ask(*connection, address, request);
        book_.answered(id, outcome);
        const auto* response = std::get_if<net::http_response>(&outcome);
        const bool ended =
            response == nullptr || response->fields.find("Connection") == "close" || !connection->reusable();
        const bool gives_up =
            habit == connection_habit::connects || (habit == connection_habit::mixed && drawn.below(20) == 0);
        if (ended || gives_up) {
            connection.reset();
        }
        const bool idles = habit == connection_habit::keeps && drawn.below(3) == 0;
        co_await net::sleep_for(loop_, drawn.between(milliseconds(2), idles ? longest_idle : longest_pause));
    }
}

net::task<void> callers::submit(std::string id, draw& drawn)
{
    auto& batch = batches_.at(id);
    const auto request = make_batch(id, batch);
    bool only_refusals = true;
    batch.first_sent = steady::now();
    for (int turn = 0; turn < submit_tries && !batch.accepted; ++turn) {
        const auto address = co_await resolve(drawn);
        if (!address.empty()) {
            const auto outcome = co_await exchange(address, request);
            const auto* response = std::get_if<net::http_response>(&outcome);
            batch.accepted = response != nullptr && response->status == 202;
            only_refusals = only_refusals && response != nullptr && promises_not_run(response->status);
        }
        if (!batch.accepted) {
            co_await net::sleep_for(loop_, drawn.between(milliseconds(50), milliseconds(500)));
        }
    }
    batch.refused = !batch.accepted && only_refusals;
}

net::task<bool> callers::read_some(std::string id, draw& drawn)
{
    auto& batch = batches_.at(id);
    const auto address = co_await resolve(drawn);
    if (address.empty()) {
        co_return false;
    }
    net::http_request question;
    // Now and then from the start: what was read once must come again.
    const auto after = drawn.below(4) == 0 ? std::size_t{0} : batch.results.size();
    question.target = "/api/lots/" + id + "?After=" + std::to_string(after);
    question.fields.add("Host", "h");
    question.fields.add("Wait-Ms", "300");
    const auto outcome = co_await exchange(address, question);
    const auto* response = std::get_if<net::http_response>(&outcome);
    if (response == nullptr || response->status != 200) {
        if (response != nullptr && (response->status == 404 || response->status == 410)) {
            book_.violation("LOST: " + id + " was accepted and is unknown to " + address);
        }
        co_return false;
    }
    const auto page = json::parse(response->body, nullptr, false);
    if (!page.is_object() || !page.contains("Results")) {
        book_.violation("MIXED: a page of " + id + " is no page: " + response->body);
        co_return false;
    }
    book_.read(batch, id, page);
    co_return true;
}

net::task<void> callers::end(std::string id, draw& drawn)
{
    auto& batch = batches_.at(id);
    net::http_request question;
    question.method = "DELETE";
    question.target = "/api/lots/" + id;
    question.fields.add("Host", "h");
    batch.end_asked = true;
    for (int turn = 0; turn < submit_tries && !batch.ended; ++turn) {
        const auto address = co_await resolve(drawn);
        if (!address.empty()) {
            const auto outcome = co_await exchange(address, question);
            const auto* response = std::get_if<net::http_response>(&outcome);
            batch.ended = response != nullptr && response->status == 200;
        }
        if (!batch.ended) {
            co_await net::sleep_for(loop_, look_every);
        }
    }
    batch.ended_at = steady::now();
}

net::task<void> callers::train(std::uint64_t number)
{
    draw drawn(seed_, 50 + number);
    for (int step = 1; !world_.is_calm(); ++step) {
        const auto id = "b" + std::to_string(number) + "x" + std::to_string(step);
        auto& batch = batches_[id];
        batch.least_version = std::max<std::uint64_t>(world_.newest_version(), 2) - 1;
        for (std::size_t place = 0; place < items_a_batch; ++place) {
            batch.items.insert(id + "-i" + std::to_string(place));
        }
        co_await submit(id, drawn);
        const auto until = steady::now() + time_of_step;
        const bool ends_early = drawn.below(5) == 0;
        while (batch.accepted && batch.results.size() < items_a_batch && steady::now() < until &&
               !world_.is_calm()) {
            co_await read_some(id, drawn);
            if (ends_early && !batch.results.empty()) {
                co_await end(id, drawn);
                break;
            }
        }
    }
}

net::task<bool> callers::serves(std::string address, std::string path, std::string id)
{
    const auto body = "body of " + id;
    book_.sent(id, request_kind::safe, body);
    auto request = make_request(path, id, body);
    const auto outcome = co_await exchange(address, std::move(request));
    const auto* response = std::get_if<net::http_response>(&outcome);
    co_return response != nullptr && response->status == 200;
}

net::task<void> callers::check_recovery()
{
    draw drawn(seed_, 99);
    const auto began = steady::now();
    const auto newest = "/added" + std::to_string(world_.configuration()) + "/x";
    int turn = 0;
    for (const auto& address : gateways_.fronts) {
        bool well = false;
        bool in_time = true;
        while (!well && in_time) {
            in_time = steady::now() - began < recovery_time;
            well = co_await serves(address, newest, "end-" + std::to_string(++turn));
            if (!well) {
                co_await net::sleep_for(loop_, look_every);
            }
        }
        if (!well) {
            book_.violation("RECOVER: " + address + " does not serve the newest route");
        }
    }
    for (auto& [id, batch] : batches_) {
        while (batch.accepted && !batch.end_asked && batch.results.size() < batch.items.size() &&
               steady::now() - began < batch_time) {
            const bool answered = co_await read_some(id, drawn);
            if (!answered) {
                co_await net::sleep_for(loop_, look_every);
            }
        }
        if (batch.accepted && !batch.end_asked && batch.results.size() < batch.items.size()) {
            book_.violation("LOST: " + id + " has " + std::to_string(batch.results.size()) + " results of " +
                            std::to_string(batch.items.size()));
        }
    }
}

} // namespace vanillagauge::soak
