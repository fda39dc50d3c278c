#include "standins/users/fake_store.hpp"

#include <algorithm>
#include <charconv>
#include <iostream>

namespace vanillagauge::standins {

using nlohmann::json;

namespace {

constexpr std::string_view objects_path = "/api/objects/";

constexpr milliseconds silence_poll_interval{20};

net::http_response respond(int status, const json& body)
{
    net::http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

/// A successful answer whose `list` holds the objects of these texts.
net::http_response respond_list(std::string_view list, const std::vector<std::string>& texts, json rest)
{
    auto response = respond(200, rest);
    std::string items = "{\"" + std::string(list) + "\":[";
    for (const auto& text : texts) {
        items += (&text == &texts.front() ? "" : ",") + text;
    }
    response.body.replace(0, 1, items + "],");
    return response;
}

/// Kind, name and subresource (`status` or empty); the name is empty in a list request.
std::vector<std::string> split(std::string_view path)
{
    path.remove_prefix(std::min(path.size(), objects_path.size()));
    std::vector<std::string> parts;
    while (!path.empty()) {
        const auto slash = path.find('/');
        parts.push_back(net::percent_decoded(path.substr(0, slash)));
        path = slash == std::string_view::npos ? std::string_view{} : path.substr(slash + 1);
    }
    parts.resize(3);
    return parts;
}

/// Zero if the text is not a number.
std::uint64_t to_number(const std::string& text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

net::http_response refuse(int status, const net::http_request& request, const std::string& why)
{
    std::cerr << "the store stand-in refused " << request.method << ' ' << request.target << ": " << why
              << '\n';
    return respond(status, {{"Error", why}});
}

} // namespace

fake_store::fake_store(net::loop& loop)
    : loop_(loop), changed_(loop), service_(
                                       loop, [] { return net::service_limits{}; },
                                       [this](const net::http_request& request, net::responder& answer) {
                                           return serve(endpoint::first, request, answer);
                                       }),
      second_service_(
          loop, [] { return net::service_limits{}; },
          [this](const net::http_request& request, net::responder& answer) {
              return serve(endpoint::second, request, answer);
          })
{
}

json fake_store::store(const key& at, json object)
{
    ++revision_;
    object["Metadata"] = {{"Name", at.second}, {"Revision", revision_}, {"Created", 0}, {"Deleting", false}};
    objects_[at] = object;
    texts_.erase(at);
    history_.push_back({revision_, at.first, object.dump(), false});
    changed_.notify();
    return object;
}

void fake_store::put(const std::string& kind, const std::string& name, json specification)
{
    auto object = objects_[{kind, name}];
    object["Specification"] = std::move(specification);
    store({kind, name}, std::move(object));
}

void fake_store::put_text(const std::string& kind, const std::string& name, std::string object)
{
    objects_.erase({kind, name});
    history_.push_back({++revision_, kind, object, false});
    texts_[{kind, name}] = std::move(object);
    changed_.notify();
}

void fake_store::remove(const std::string& kind, const std::string& name)
{
    auto object = objects_.extract({kind, name});
    auto text = texts_.extract({kind, name});
    if (!object && !text) {
        return;
    }
    history_.push_back({++revision_, kind, text ? std::move(text.mapped()) : object.mapped().dump(), true});
    changed_.notify();
}

void fake_store::compact_history()
{
    compacted_revision_ = ++revision_;
    history_.clear();
    changed_.notify();
}

json fake_store::find(const std::string& kind, const std::string& name) const
{
    const auto found = objects_.find({kind, name});
    return found == objects_.end() ? json() : found->second;
}

std::size_t fake_store::count(const std::string& kind) const
{
    return static_cast<std::size_t>(std::count_if(
        objects_.begin(), objects_.end(), [&](const auto& entry) { return entry.first.first == kind; }));
}

std::uint64_t fake_store::list_calls(const std::string& kind) const
{
    const auto found = list_calls_.find(kind);
    return found == list_calls_.end() ? 0 : found->second;
}

std::uint64_t fake_store::read_calls(const std::string& kind) const
{
    const auto found = read_calls_.find(kind);
    return found == read_calls_.end() ? 0 : found->second;
}

std::uint64_t fake_store::read_calls() const
{
    std::uint64_t calls = 0;
    for (const auto& [kind, count] : read_calls_) {
        calls += count;
    }
    return calls;
}

net::http_response fake_store::list(const std::string& kind, const std::string& after) const
{
    std::map<std::string, std::string> items;
    for (const auto& [at, object] : objects_) {
        if (at.first == kind && at.second > after) {
            items[at.second] = object.dump();
        }
    }
    for (const auto& [at, text] : texts_) {
        if (at.first == kind && at.second > after) {
            items[at.second] = text;
        }
    }
    std::vector<std::string> sorted;
    sorted.reserve(items.size());
    for (auto& [name, text] : items) {
        sorted.push_back(std::move(text));
    }
    return respond_list("Items", sorted, {{"HasMore", false}, {"AsOf", stated_revision()}});
}

net::http_response fake_store::write(const net::http_request& request)
{
    try {
        return write_object(request);
    }
    catch (const json::exception& why) {
        return refuse(400, request, why.what());
    }
}

net::http_response fake_store::write_object(const net::http_request& request)
{
    const auto parts = split(net::path_of(request.target));
    auto body = json::parse(request.body);
    const auto name = request.method == "POST" ? body.at("Metadata").at("Name").get<std::string>() : parts[1];
    const key at{parts[0], name};
    const auto existing = objects_.find(at);
    if (request.method == "POST") {
        if (existing != objects_.end()) {
            return respond(409, existing->second);
        }
        json object;
        object["Specification"] = body.at("Specification");
        return respond(201, store(at, std::move(object)));
    }
    if (existing == objects_.end()) {
        return respond(404, json::object());
    }
    const auto expected = body.at("Metadata").value("Revision", std::uint64_t{0});
    if (expected != 0 && expected != existing->second["Metadata"]["Revision"].get<std::uint64_t>()) {
        return respond(409, existing->second);
    }
    auto object = existing->second;
    const auto* field = parts[2] == "status" ? "Status" : "Specification";
    if (object.value(field, json()) == body.at(field)) {
        return respond(200, object);
    }
    object[field] = body.at(field);
    return respond(200, store(at, std::move(object)));
}

net::task<void> fake_store::write_later(net::http_request request)
{
    co_await net::sleep_for(loop_, faults.write_delay);
    write(request);
}

net::task<void> fake_store::wait_while_silent(endpoint used, net::responder& answer)
{
    while (used == endpoint::second && faults.second_silent && !answer.client_disconnected()) {
        co_await net::sleep_for(loop_, silence_poll_interval);
    }
}

net::task<void> fake_store::watch(endpoint used, std::string kind, std::uint64_t since, milliseconds wait,
                                  net::responder& answer)
{
    const auto until = steady::now() + wait;
    while (true) {
        co_await wait_while_silent(used, answer);
        if (faults.end_watches == watch_end::refused) {
            auto refused = respond(503, json::object());
            co_await answer.send(std::move(refused));
            co_return;
        }
        if (since < compacted_revision_ || faults.end_watches == watch_end::history_gone) {
            auto expired = respond(410, json::object());
            co_await answer.send(std::move(expired));
            co_return;
        }
        std::vector<std::string> events;
        for (const auto& change : history_) {
            if (change.kind == kind && change.revision > since) {
                events.push_back("{\"Object\":" + change.object +
                                 ",\"Removed\":" + (change.removed ? "true}" : "false}"));
            }
        }
        const bool is_due =
            !events.empty() || steady::now() >= until || faults.end_watches == watch_end::at_once;
        if (is_due && faults.lose_watches) {
            while (!answer.client_disconnected()) {
                co_await net::sleep_for(loop_, silence_poll_interval);
            }
        }
        if (is_due || answer.client_disconnected()) {
            auto response = respond_list("events", events, {{"AsOf", stated_revision()}});
            co_await answer.send(std::move(response));
            co_return;
        }
        co_await changed_.wait_until(until);
    }
}

std::optional<write_fault> fake_store::next_fault(const std::string& kind)
{
    if (faults.script.empty() || kind != faults.scripted_kind) {
        return std::nullopt;
    }
    const auto next = faults.script.front();
    faults.script.pop_front();
    return next;
}

net::task<void> fake_store::serve(endpoint used, const net::http_request& request, net::responder& answer)
{
    co_await wait_while_silent(used, answer);
    if (!request.target.starts_with(objects_path)) {
        auto unknown_path = refuse(404, request, "no object's path");
        co_await answer.send(std::move(unknown_path));
        co_return;
    }
    if (faults.refuse) {
        ++refused_calls_;
        auto refused = respond(503, json::object());
        co_await answer.send(std::move(refused));
        co_return;
    }
    const auto parts = split(net::path_of(request.target));
    if (request.method != "GET") {
        ++write_calls_;
        if (faults.delay_writes > 0) {
            --faults.delay_writes;
            net::start(loop_, write_later(request));
            answer.abort();
            co_return;
        }
        const auto fault = next_fault(parts[0]);
        if (fault == write_fault::refuse) {
            auto refused = respond(503, json::object());
            co_await answer.send(std::move(refused));
            co_return;
        }
        auto response = write(request);
        if (fault == write_fault::lose_answer) {
            answer.abort();
            co_return;
        }
        if (faults.lose_answers > 0) {
            --faults.lose_answers;
            answer.abort();
            co_return;
        }
        co_await answer.send(std::move(response));
        co_return;
    }
    ++read_calls_[parts[0]];
    while (parts[0] == faults.held_kind && !answer.client_disconnected()) {
        co_await net::sleep_for(loop_, silence_poll_interval);
    }
    const auto since = net::query_value(request.target, "Watch");
    if (!since.empty()) {
        const auto wait =
            milliseconds{static_cast<std::int64_t>(to_number(net::query_value(request.target, "WaitMs")))};
        co_await watch(used, parts[0], to_number(since), wait, answer);
        co_return;
    }
    if (parts[1].empty()) {
        ++list_calls_[parts[0]];
        auto listed = list(parts[0], net::query_value(request.target, "After"));
        co_await answer.send(std::move(listed));
        co_return;
    }
    if (const auto text = texts_.find({parts[0], parts[1]}); text != texts_.end()) {
        net::http_response as_it_stands;
        as_it_stands.body = text->second;
        co_await answer.send(std::move(as_it_stands));
        co_return;
    }
    const auto object = find(parts[0], parts[1]);
    const int status = object.is_null() ? 404 : 200;
    auto response = respond(status, object);
    co_await answer.send(std::move(response));
}

} // namespace vanillagauge::standins
