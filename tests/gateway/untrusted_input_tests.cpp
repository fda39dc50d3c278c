#include "../odd_json.hpp"
#include "batch_deployment.hpp"

#include "gateway/engines/engine_exchange.hpp"
#include "gateway/feed_sync.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;

/// A store relay without the rest of the gateway.
struct standalone_relay : deployment {
    wire::event_loop loop;
    platform::platform_store store{loop.context(), store_address()};
    fleet_view fleet{loop, make_settings("a", store_address(), {})};
    peer_relay relay{loop.context(), store, fleet};

    ~standalone_relay() { loop.stop(); }

    net::http_response answer_to(const std::string& body)
    {
        std::promise<net::http_response> promise;
        loop.post([&] { net::start(loop.context(), serve(body, promise)); });
        return promise.get_future().get();
    }

private:
    net::task<void> serve(std::string body, std::promise<net::http_response>& promise)
    {
        net::http_request request;
        request.body = std::move(body);
        auto response = co_await relay.serve(request);
        promise.set_value(std::move(response));
    }
};

// Guards against an exception on malformed calls, as by another program's client on a reused port, that ends
// the gateway.
TEST(untrusted_input, relay_refuses_malformed_calls)
{
    standalone_relay all;
    for (const auto* body :
         {"", "hello", "[]", "{}", R"({"op": 1, "kind": "servers", "name": ""})",
          R"({"op": "list", "kind": {}, "name": ""})", R"({"op": "read", "kind": "servers", "name": 7})",
          R"({"op": "replace", "kind": "servers", "name": "r", "value": {}})",
          R"({"op": "replace", "kind": "servers", "name": "r", "value": {}, "revision": "x"})",
          R"({"op": "erase", "kind": "servers", "name": "r"})"}) {
        EXPECT_EQ(all.answer_to(body).status, 400) << body;
    }
    const auto served = all.answer_to(R"({"op": "read", "kind": "config", "name": "main"})");
    EXPECT_EQ(served.status, 200);
    EXPECT_EQ(json::parse(served.body)["done"]["name"], "main");
}

// Guards against an exception on malformed objects in the gateways' own kinds that ends every gateway reading
// them.
TEST(untrusted_input, gateway_ignores_malformed_objects)
{
    deployment all;
    all.add_replica("r1", "plain");
    all.modify_store([](standins::fake_store& store) {
        store.put("gateways", "other", {{"peer", 7}});
        store.put("gateways", "empty", json());
        store.put("leases", "weights", {{"holder", 3}});
    });
    auto& served = all.add_gateway("a");
    EXPECT_TRUE(deployment::eventually([&] { return served.ready(); }));
    const auto lease_is_taken = [&] {
        const auto lease = all.inspect_store<json>(
            [](standins::fake_store& store) { return store.find("leases", "weights"); });
        return lease["Specification"]["holder"].is_string();
    };
    EXPECT_TRUE(deployment::eventually(lease_is_taken));
    EXPECT_EQ(all.status_of(served.address(), make_request("/safe/1", "a1")), 200);
}

/// The two gateways do not own what the other accepts, so that calls go from one to the other.
struct two_gateways : batch_deployment {
    running_gateway& first = ready_gateway("a");
    running_gateway& second = ready_gateway("b");
};

// Guards against a gateway that ends as it passes on or writes down bytes of a client that are not UTF-8.
TEST(untrusted_input, gateways_refuse_bytes_that_are_not_text)
{
    two_gateways all;
    EXPECT_EQ(all.status_of(all.first.address(), make_batch("b1")), 202);
    std::vector<net::http_request> wrong;
    for (const std::string bytes : {"\xff", "\xc3\x28", "\xed\xa0\x80", "\xf0\x80\x80\xaf"}) {
        auto submission = make_batch("b2");
        submission.fields.set("Attempt-Id", "b" + bytes);
        wrong.push_back(submission);
        wrong.push_back(make_end("b1" + bytes));
        wrong.push_back(make_read("b1" + bytes, 0));
        wrong.push_back(make_request("/safe/" + bytes, "r1"));
        wrong.push_back(make_request("/safe/1", "r" + bytes));
        auto of_host = make_request("/safe/1", "r2");
        of_host.fields.set("Host", "h" + bytes);
        wrong.push_back(of_host);
    }
    for (const auto* escaped : {"%FF", "%C3%28", "%ED%A0%80"}) {
        auto body = make_read("b1", 0);
        body.target = std::string("/api/items/b1?Id=") + escaped;
        wrong.push_back(body);
    }
    for (const auto& request : wrong) {
        EXPECT_EQ(all.status_of(all.first.address(), request), 400) << request.target;
        EXPECT_EQ(all.status_of(all.second.address(), request), 400) << request.target;
    }
    expect_complete(all.read_all({all.second.address()}, "b1"));
}

// Guards against an item whose text is read as another request by the replica that runs it.
TEST(untrusted_input, gateways_refuse_items_that_hold_another_request)
{
    batch_deployment all;
    auto& served = all.ready_gateway("a");
    const std::string smuggled =
        "1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        "POST /smuggled HTTP/1.1\r\nAttempt-Id: smuggled\r\nToken-Counts: 5,9\r\nX: y";
    const std::vector<std::pair<std::string, json>> changes{{"/Headers/X", smuggled},
                                                            {"/Headers/" + std::string("X: y\r\nZ"), "1"},
                                                            {"/Path", "/lots/" + smuggled},
                                                            {"/Path", "/lots/a b"},
                                                            {"/Path", ""},
                                                            {"/Id", smuggled},
                                                            {"/ScoringFunction/Path", "/score/" + smuggled},
                                                            {"/ScoringFunction/Id", smuggled},
                                                            {"/ScoringFunction/Host", smuggled}};
    int number = 0;
    for (const auto& [where, text] : changes) {
        const auto id = "w" + std::to_string(++number);
        auto submission = make_batch(id, 1, true);
        auto body = json::parse(submission.body);
        body["Items"][0][json::json_pointer(where)] = text;
        submission.body = body.dump();
        EXPECT_EQ(all.status_of(served.address(), submission), 400) << where;
    }
    EXPECT_EQ(all.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(all.read_all({served.address()}, "b1"));
    const auto smuggled_runs = all.inspect_store<std::size_t>([&](standins::fake_store&) {
        std::size_t runs = 0;
        for (const auto* engine : {&all.one, &all.two}) {
            for (const auto& seen : engine->started_requests) {
                runs += seen.attempt_id == "smuggled" ? 1 : 0;
            }
        }
        return runs;
    });
    EXPECT_EQ(smuggled_runs, 0U);
}

// Guards against a batch whose id ends or changes the paths of its objects in the store.
TEST(untrusted_input, gateways_keep_batches_whose_ids_are_no_path)
{
    batch_deployment all;
    auto& served = all.ready_gateway("a");
    int number = 0;
    for (const std::string id : {"a b", "a/b", "a%2Fb", "a#b", "a?b", "a&b=c", "caf\xc3\xa9"}) {
        auto submission = make_batch("b" + std::to_string(++number));
        submission.fields.set("Attempt-Id", id);
        EXPECT_EQ(all.status_of(served.address(), submission), 202) << id;
        EXPECT_EQ(all.status_of(served.address(), submission), 202) << id;
        const auto encoded = net::percent_encoded(id);
        expect_complete(all.read_all({served.address()}, encoded));
        EXPECT_EQ(all.status_of(served.address(), make_end(encoded)), 200) << id;
    }
}

// Guards against a caller's path without a batch that makes the store seem lost, so that all batches are
// refused.
TEST(untrusted_input, gateways_keep_the_store_after_a_path_without_a_batch)
{
    batch_deployment all;
    auto& served = all.ready_gateway("a");
    for (const auto* target : {"/api/lots/", "/api/items/?Id=i"}) {
        auto nameless = make_read("", 0);
        nameless.target = target;
        EXPECT_EQ(all.status_of(served.address(), nameless), 404) << target;
        EXPECT_EQ(all.status_of(served.address(), make_batch(std::string("b") + target[5])), 202);
    }
    EXPECT_EQ(all.status_of(served.address(), make_end("")), 404);
    EXPECT_EQ(all.status_of(served.address(), make_batch("b3")), 202);
}

// Guards against a refusal of what only passes through: the bytes of a field that no one here reads.
TEST(untrusted_input, gateways_pass_on_fields_that_they_do_not_read)
{
    batch_deployment all;
    all.add_replica("s1", "plain");
    auto& served = all.ready_gateway("a");
    auto request = make_request("/safe/1", "r1");
    request.fields.add("Name", "caf\xe9");
    EXPECT_TRUE(deployment::eventually([&] { return all.status_of(served.address(), request) == 200; }));
}

// Guards against numbers of a client that overflow a time or a position.
TEST(untrusted_input, gateways_survive_numbers_out_of_range)
{
    batch_deployment all;
    all.add_replica("s1", "plain");
    auto& served = all.ready_gateway("a");
    EXPECT_EQ(all.status_of(served.address(), make_batch("b1")), 202);
    for (const auto* number :
         {"", "-1", "0", "x", "9223372036854775807", "-9223372036854775808", "18446744073709551616", "1e9"}) {
        for (const auto* name : {"Deadline-Ms", "Last-Event-Id", "Token-Counts"}) {
            auto request = make_request("/safe/1", "r1");
            request.fields.set(name, number);
            EXPECT_NE(all.status_of(served.address(), request), 0) << name << number;
        }
        auto read = make_read("b1", 0);
        read.target = std::string("/api/lots/b1?After=") + number;
        read.fields.set("Wait-Ms", number);
        EXPECT_NE(all.status_of(served.address(), read), 0) << number;
    }
    expect_complete(all.read_all({served.address()}, "b1"));
}

// Guards against an accepted batch that never runs, as a number of a client could not be read back.
TEST(untrusted_input, gateways_run_batches_with_odd_length_hints)
{
    batch_deployment all;
    auto& served = all.ready_gateway("a");
    int number = 0;
    for (const auto* odd : {"nan", "inf", "1e308", "-1"}) {
        const auto id = "b" + std::to_string(++number);
        auto submission = make_batch(id);
        auto body = json::parse(submission.body);
        for (auto& item : body["Items"]) {
            item["Headers"]["Length-Hint"] = odd;
        }
        submission.body = body.dump();
        EXPECT_EQ(all.status_of(served.address(), submission), 202) << odd;
        SCOPED_TRACE(odd);
        expect_complete(all.read_all({served.address()}, id));
    }
}

/// The status of the answer to a message of a peer.
int status_of_peer_message(batch_deployment& all, running_gateway& served, const std::string& path,
                           const std::string& body)
{
    net::http_request request;
    request.method = "POST";
    request.target = path;
    request.fields.add("Host", "h");
    request.body = body;
    return all.status_of(served.query<std::string>([](gateway& asked) { return asked.relay_address(); }),
                         request);
}

// Guards against a document of a peer that ends the gateway as it is copied.
TEST(untrusted_input, gateways_refuse_deeply_nested_messages_of_peers)
{
    batch_deployment all;
    auto& served = all.ready_gateway("a");
    const auto deep = nested_arrays();
    const std::vector<std::pair<std::string, std::string>> messages{
        {accepted_path,
         R"({"parts":[],"object":{"name":"b","revision":1,"status":null,"value":)" + deep + "}}"},
        {accepted_path,
         R"({"parts":[],"object":{"name":"b","revision":1,"value":{},"status":)" + deep + "}}"},
        {accepted_path, R"({"object":{},"parts":)" + deep + "}"},
        {speculative_path, R"({"id":"b","header":)" + deep + R"(,"parts":[]})"},
        {results_path, R"({"batch":)" + deep + "}"},
        {engine_report_path, R"({"uses":)" + nested_arrays(30'000) + "}"}};
    for (const auto& [path, body] : messages) {
        EXPECT_EQ(status_of_peer_message(all, served, path, body), 400) << path;
    }
    EXPECT_EQ(all.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(all.read_all({served.address()}, "b1"));
}

// Guards against positions and waits of a peer that wrap round.
TEST(untrusted_input, gateways_refuse_reads_of_peers_with_numbers_out_of_range)
{
    batch_deployment all;
    auto& served = all.ready_gateway("a");
    const std::string sound = R"({"batch":"b","first":0,"wait_ms":10})";
    EXPECT_EQ(status_of_peer_message(all, served, results_path, sound), 503);
    for (const auto& odd : odd_counts()) {
        EXPECT_EQ(status_of_peer_message(all, served, results_path, replaced(sound, ":0", ":" + odd)), 400)
            << odd.substr(0, 40);
        const bool waits_less = odd == "-1" || odd == "-9223372036854775808";
        EXPECT_EQ(status_of_peer_message(all, served, results_path, replaced(sound, ":10", ":" + odd)),
                  waits_less ? 503 : 400)
            << odd.substr(0, 40);
    }
}

} // namespace
} // namespace vanillagauge::gateway
