#include "../drawn_bytes.hpp"
#include "../odd_json.hpp"
#include "gateway/batch.hpp"
#include "gateway/batch_texts.hpp"
#include "gateway/callers/relay_messages.hpp"
#include "gateway/engines/engine_exchange.hpp"
#include "gateway/internal/usage_messages.hpp"
#include "platform/batch_json.hpp"
#include "platform/replica_protocol.hpp"
#include "json/json.hpp"

#include <gtest/gtest.h>

#include <cmath>

// Sound messages with drawn changes: each reader must return a value or a typed error.

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;

constexpr int draws = 600;

struct reader {
    std::string name;
    std::string sound;
    std::function<void(const std::string& text)> read;
};

batch_item sample_item()
{
    batch_item item;
    item.id = "i1";
    item.path = "/p/1";
    item.fields = {{"Token-Counts", "5,9"}};
    item.scoring = scoring_call{"s1", "h", "/score/1", "aGk="};
    return item;
}

/// What is read can be written and read again.
void read_submission(const std::string& text)
{
    route chosen;
    chosen.services = {{"s", 1}};
    const auto read = platform::to_submission(chosen, "b1", "o1", text);
    if (!ok(read)) {
        EXPECT_EQ(failure(read).code, error_code::invalid_argument);
        return;
    }
    const auto& [header, items] = value(read);
    EXPECT_TRUE(ok(header_from_json("b1", parse_json(to_json(header).dump()), {})));
    for (const auto& part : to_parts(items, 1000)) {
        EXPECT_TRUE(ok(items_from_json(parse_json(part.dump()))));
    }
}

void read_report(const std::string& text)
{
    net::http_response response;
    response.status = 200;
    response.body = text;
    platform::replica_protocol().parse_report(response);
}

void read_header(const std::string& text)
{
    const auto document = parse_json(text);
    const auto read = header_from_json("b1", document, document);
    if (ok(read)) {
        EXPECT_GE(value(read).accepted + value(read).max_age, value(read).accepted);
        EXPECT_FALSE(to_json(value(read)).dump().empty());
    }
}

void read_relayed_request(const std::string& text)
{
    const auto read = relayed_request_from_text(text);
    if (ok(read)) {
        EXPECT_GE(value(read).time_left, milliseconds{0});
        EXPECT_TRUE(ok(to_text(value(read))));
    }
}

std::string sound_relayed_request()
{
    relayed_request request;
    request.route = "r";
    request.attempt_id = "a1";
    request.http.fields.add("Host", "h");
    request.http.body = "hello";
    request.time_left = milliseconds(100);
    return value(to_text(request));
}

std::string sound_engine_report()
{
    policy::engine_report report;
    report.vm = "b";
    report.uses.push_back({"e", 1, 7});
    report.loads.push_back({"e", "m", 2, milliseconds(100)});
    return to_json(report).dump();
}

std::vector<reader> readers()
{
    const std::vector<saved_text> texts{{"i", "t", 12, 12, {1}, false}};
    const result_segment segment{0, "w", {{"i", item_state::completed, "t", {1}, "s"}}};
    return {
        {"batch",
         R"({"Step":7,"Model":"m","MinVersion":6,"DesiredCount":1,"Items":[{"Id":"i1","Path":"/p/1","Headers":{"Token-Counts":"5,9","Length-Hint":"120"},"Body":"aGk=","Tokens":14,"Group":"g"}]})",
         read_submission},
        {"report", R"({"born":11,"Busy":false,"Sequence":12,"Models":[{"Name":"m","Version":13}]})",
         read_report},
        {"header", to_json(batch_header{}).dump(), read_header},
        {"items", to_parts({sample_item()}, 1000).front().dump(),
         [](const std::string& text) { items_from_json(parse_json(text)); }},
        {"texts", to_json(texts).dump(), [](const std::string& text) { texts_from_json(parse_json(text)); }},
        {"segment", to_json(segment).dump(),
         [](const std::string& text) { segment_from_json("00000000", parse_json(text)); }},
        {"relayed request", sound_relayed_request(), read_relayed_request},
        {"relayed answer", to_text(relayed_answer{"a1", net::http_response{200, {}, "hello"}}),
         [](const std::string& text) { relayed_answer_from_text(text); }},
        {"engine report", sound_engine_report(),
         [](const std::string& text) { engine_report_from_json(parse_json(text)); }},
        {"counts", R"({"source":"x","windows":{"7":{"o":1}}})",
         [](const std::string& text) { internal::counts_message_from_json(parse_json(text)); }},
        {"usage reports", R"({"windows":{"7":{"o":1}},"accepted":[7]})",
         [](const std::string& text) { internal::report_log_from_json(parse_json(text)); }}};
}

/// Replaces what follows a drawn colon up to the next comma or bracket.
std::string with_odd_member(std::string text, std::mt19937_64& random)
{
    const auto odd = odd_counts();
    const auto colon = text.find(':', random() % text.size());
    if (colon == std::string::npos) {
        return text;
    }
    const auto end = std::min(text.find_first_of(",]}", colon), text.size());
    return text.replace(colon + 1, end - colon - 1, odd[random() % odd.size()]);
}

// Guards against a message that ends the process of its reader.
TEST(drawn_messages, are_read_or_refused)
{
    SCOPED_TRACE("seed " + std::to_string(drawn_seed()));
    std::mt19937_64 random(drawn_seed());
    for (const auto& tried : readers()) {
        SCOPED_TRACE(tried.name);
        for (int draw = 0; draw < draws; ++draw) {
            const auto text =
                draw % 2 == 0 ? with_few_changes(tried.sound, random) : with_odd_member(tried.sound, random);
            EXPECT_NO_THROW(tried.read(text)) << text.substr(0, 400);
        }
    }
}

} // namespace
} // namespace vanillagauge::gateway
