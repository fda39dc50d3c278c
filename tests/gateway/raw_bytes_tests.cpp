#include "batch_deployment.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <random>

namespace vanillagauge::gateway {
namespace {

namespace asio = boost::asio;

constexpr std::uint64_t first_seed = 20261204;
constexpr int rounds = 3000;
constexpr int max_changes = 6;

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

/// Replaces, inserts and removes a few bytes at drawn places.
std::string changed(std::string text, std::mt19937_64& random)
{
    const int changes = 1 + static_cast<int>(random() % max_changes);
    for (int change = 0; change < changes; ++change) {
        const auto at = random() % text.size();
        const auto byte = static_cast<char>(random() % 256);
        switch (random() % 3) {
        case 0:
            text[at] = byte;
            break;
        case 1:
            text.insert(at, 1, byte);
            break;
        default:
            text.erase(at, 1);
        }
    }
    return text;
}

/// Sends the bytes and reads until the peer closes or the socket's side has ended; ignores what it answers.
void send_raw(const std::string& address, const std::string& bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    const auto colon = address.rfind(':');
    boost::system::error_code failed;
    socket.connect({asio::ip::make_address(address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))},
                   failed);
    ASSERT_FALSE(failed) << "the gateway is gone";
    asio::write(socket, asio::buffer(bytes), failed);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, failed);
    std::array<char, 4096> answer{};
    const timeval patience{0, 50000};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    ::recv(socket.native_handle(), answer.data(), answer.size(), 0);
}

// Guards against any bytes of a caller that end a gateway. `--gtest_shuffle --gtest_random_seed=N` draws
// others.
TEST(raw_bytes, end_no_gateway)
{
    batch_deployment all;
    all.add_replica("s1", "plain");
    auto& served = all.ready_gateway("a");
    std::mt19937_64 random(first_seed +
                           static_cast<std::uint64_t>(testing::UnitTest::GetInstance()->random_seed()));
    const auto sound = sound_requests();
    for (int round = 0; round < rounds; ++round) {
        const auto bytes = changed(sound[random() % sound.size()], random);
        send_raw(served.address(), bytes);
    }
    EXPECT_TRUE(deployment::eventually(
        [&] { return all.status_of(served.address(), make_request("/safe/1", "r1")) == 200; }));
    EXPECT_EQ(all.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(all.read_all({served.address()}, "b1"));
}

} // namespace
} // namespace vanillagauge::gateway
