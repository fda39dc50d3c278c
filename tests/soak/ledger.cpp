#include "ledger.hpp"

#include "net/event_stream.hpp"

#include <algorithm>

namespace vanillagauge::soak {

using nlohmann::json;
using standins::event_text;

namespace {

constexpr std::uint64_t stream_events = 4;
constexpr milliseconds cancel_time{3000};
/// MaxAgeS of the route of batches.
constexpr seconds longest_age{20};

std::string whole_text(const std::string& item)
{
    std::string text;
    for (std::uint64_t number = 1; number <= stream_events; ++number) {
        text += (number == 1 ? "" : "\n") + event_text(item, number);
    }
    return text;
}

} // namespace

bool promises_not_run(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

void ledger::violation(std::string text)
{
    violations_.push_back(std::move(text));
}

void ledger::sent(const std::string& id, request_kind kind, const std::string& body)
{
    attempts_[id] = {kind, body};
}

void ledger::answered(const std::string& id, const net::http_result<net::http_response>& outcome)
{
    const auto* response = std::get_if<net::http_response>(&outcome);
    ++statuses_[response == nullptr ? 0 : response->status];
    if (response == nullptr) {
        return;
    }
    auto& known = attempts_.at(id);
    const auto echoed = response->fields.find("Attempt-Id");
    if (!echoed.empty() && echoed != id) {
        violation("MIXED: " + id + " got the answer of " + std::string(echoed));
    }
    if (response->status >= 200 && response->status <= 299) {
        check_success(id, known, *response);
    }
    else if (response->status == 404) {
        violation("CONFIG: " + id + " got 404 on a route that every configuration has");
    }
    known.refused = known.refused || promises_not_run(response->status);
}

void ledger::cut(cut_request request)
{
    cut_.push_back(std::move(request));
}

void ledger::check_planned_stops(const signal_log& signals,
                                 const std::vector<standins::received_request>& ran)
{
    planned_stops_ = signals.planned_stops();
    std::map<std::string, std::size_t> runs;
    for (const auto& run : ran) {
        ++runs[run.attempt_id];
    }
    for (const auto& request : cut_) {
        const auto since_stop = signals.time_since_planned_stop(request);
        if (!since_stop || !is_loss(request, runs.contains(request.id))) {
            continue;
        }
        // Before an answer has begun, a gateway can still say that the replica failed.
        if (request.answer_begun && request.replica_failed) {
            ++broken_off_near_stops_;
            continue;
        }
        const auto open = std::chrono::duration_cast<milliseconds>(request.ended_at - request.sent_at);
        violation("LOST: " + request.id + " was cut by " + request.gateway + " " +
                  std::to_string(since_stop->count()) + " ms after its SIGTERM and " +
                  std::to_string(open.count()) + " ms after it was sent, with " +
                  std::to_string(runs[request.id]) + " runs" +
                  (request.answer_begun ? ", within its answer" : ""));
    }
}

void ledger::check_success(const std::string& id, const attempt& known, const net::http_response& response)
{
    const std::string stamp(response.fields.find("Server-Stamp"));
    if (!stamp.starts_with("stamp-")) {
        violation("MIXED: " + id + " got a success without a stamp");
        return;
    }
    if (known.kind == request_kind::stream) {
        check_stream(id, response);
        return;
    }
    const auto expected = "answer of " + stamp.substr(6) + " to " + known.body;
    if (response.body != expected) {
        violation("MIXED: " + id + " expected \"" + expected + "\", found \"" + response.body + "\"");
    }
}

void ledger::check_stream(const std::string& id, const net::http_response& response)
{
    net::event_reader reader;
    std::uint64_t next = 1;
    for (const auto& event : reader.feed(response.body)) {
        if (event.id != next || event.data != event_text(id, next)) {
            violation("ORDER: " + id + " expected event " + std::to_string(next) + ", found \"" + event.data +
                      "\"");
        }
        ++next;
    }
    if (next != stream_events + 1) {
        violation("ORDER: " + id + " ended as whole after " + std::to_string(next - 1) + " events");
    }
}

void ledger::read(batch_record& batch, const std::string& id, const json& page)
{
    if (page.value("Total", std::size_t{0}) != batch.items.size()) {
        violation("MIXED: " + id + " has another Total than it was sent with");
    }
    std::size_t position = page.value("NextToken", std::size_t{0}) - page["Results"].size();
    for (const auto& entry : page["Results"]) {
        const auto [known, fresh] = batch.results.emplace(position, entry.dump());
        if (!fresh && known->second != entry.dump()) {
            violation("TWICE: " + id + " at " + std::to_string(position) + ": was " + known->second +
                      ", is " + entry.dump());
        }
        if (fresh) {
            ++results_;
            check_result(batch, id, entry);
        }
        ++position;
    }
    std::set<std::string> seen;
    for (const auto& [at, text] : batch.results) {
        const auto item = json::parse(text).at("Id").get<std::string>();
        if (!seen.insert(item).second) {
            violation("TWICE: " + item + " stands at two positions of " + id);
        }
    }
}

void ledger::check_result(const batch_record& batch, const std::string& id, const json& entry)
{
    const auto item = entry.at("Id").get<std::string>();
    if (!batch.items.contains(item)) {
        violation("MIXED: " + id + " lists " + item + ", which is not its own");
    }
    if (entry.at("State") != "completed") {
        const bool old = steady::now() - batch.first_sent >= longest_age;
        if (!old && !batch.end_asked) {
            violation("MIXED: " + item + " was given up before its time");
        }
        return;
    }
    if (entry.at("Text") != whole_text(item)) {
        violation("ORDER: " + item + " has the text \"" + entry.at("Text").get<std::string>() + "\"");
    }
    for (const auto& version : entry.at("Versions")) {
        if (version.get<std::uint64_t>() < batch.least_version) {
            violation("VERSION: " + item + " was made under " + version.dump() + ", asked for " +
                      std::to_string(batch.least_version));
        }
    }
}

void ledger::settle(const std::vector<standins::received_request>& ran,
                    const std::map<std::string, batch_record>& batches, time_point calm_since)
{
    std::map<std::string, std::string> batch_of;
    for (const auto& [id, batch] : batches) {
        for (const auto& item : batch.items) {
            batch_of[item] = id;
        }
    }
    std::map<std::string, int> runs;
    for (const auto& seen : ran) {
        const auto item = batch_of.find(seen.attempt_id);
        if (item != batch_of.end()) {
            const auto& batch = batches.at(item->second);
            if (batch.refused) {
                violation("REFUSED: " + seen.attempt_id + " ran, its batch was refused each time");
            }
            if (batch.ended && seen.received_at > std::max(batch.ended_at, calm_since) + cancel_time) {
                violation("UNASKED: " + seen.attempt_id + " ran after the end of its batch");
            }
            continue;
        }
        const auto known = attempts_.find(seen.attempt_id);
        if (known == attempts_.end() || known->second.body != seen.body) {
            violation("UNASKED: " + seen.attempt_id + " was not sent so");
            continue;
        }
        ++runs[seen.attempt_id];
        if (known->second.kind == request_kind::unsafe && runs[seen.attempt_id] == 2) {
            violation("TWICE: " + seen.attempt_id + " ran twice");
        }
        if (known->second.kind == request_kind::unsafe && known->second.refused) {
            violation("REFUSED: " + seen.attempt_id + " ran and was told that it never would");
        }
    }
}

json ledger::counts() const
{
    json statuses;
    for (const auto& [status, count] : statuses_) {
        statuses[std::to_string(status)] = count;
    }
    return {{"attempts", attempts_.size()},
            {"statuses", std::move(statuses)},
            {"results", results_},
            {"planned_stops", planned_stops_},
            {"broken_off_near_stops", broken_off_near_stops_}};
}

} // namespace vanillagauge::soak
