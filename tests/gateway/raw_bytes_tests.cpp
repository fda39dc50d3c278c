#include "../drawn_bytes.hpp"
#include "batch_deployment.hpp"

#include <gtest/gtest.h>

#include <random>

namespace vanillagauge::gateway {
namespace {

constexpr int rounds = 3000;

/// Requests of each kind that callers make, as they stand on the wire.
std::vector<std::string> sound_requests()
{
    const std::string item = R"({"Id":"i","Path":"/lots/run","Headers":{"Token-Counts":"5,9","Model":"m"},)"
                             R"("Body":"aGk=","Group":"g","Tokens":14,"ScoringFunction":null})";
    const std::string batch =
        R"({"Step":0,"Model":"m","MinVersion":1,"DesiredCount":1,"Items":[)" + item + "]}";
    const std::string fields = "Host: h\r\nAttempt-Id: f\r\nDeadline-Ms: 300\r\nLast-Event-Id: 1\r\n"
                               "Token-Counts: 5,9\r\nWait-Ms: 10\r\nConnection: close\r\n";
    const auto with_body = [&fields](const std::string& line, const std::string& body) {
        return line + " HTTP/1.1\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    };
    return {with_body("POST /lots/f", batch),
            with_body("POST /safe/f", "hello"),
            with_body("GET /api/lots/f?After=0", ""),
            with_body("GET /api/items/f?Id=i", ""),
            with_body("DELETE /api/lots/f", ""),
            with_body("GET /api/resolve?Name=h&Region=r&Zone=z", ""),
            with_body("POST /relay", R"({"op":"read","kind":"config","name":"main"})"),
            "POST /safe/f HTTP/1.1\r\n" + fields +
                "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"};
}

// Guards against any bytes of a caller that end a gateway. `--gtest_shuffle --gtest_random_seed=N` draws
// others.
TEST(raw_bytes, end_no_gateway)
{
    batch_deployment all;
    all.add_replica("s1", "plain");
    auto& served = all.ready_gateway("a");
    std::mt19937_64 random(drawn_seed());
    const auto sound = sound_requests();
    for (int round = 0; round < rounds; ++round) {
        send_raw(served.address(), with_few_changes(sound[random() % sound.size()], random));
    }
    EXPECT_TRUE(deployment::eventually(
        [&] { return all.status_of(served.address(), make_request("/safe/1", "r1")) == 200; }));
    EXPECT_EQ(all.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(all.read_all({served.address()}, "b1"));
}

} // namespace
} // namespace vanillagauge::gateway
