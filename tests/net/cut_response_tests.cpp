// Responses that end after each of their bytes.
#include "../scripted_peer.hpp"
#include "loopback.hpp"

#include "net/connection_pool.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::net {
namespace {

constexpr milliseconds patience{10000};
constexpr std::size_t max_body = 1U << 20U;

const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string body = "a body of two chunks";

/// How a response is cut.
struct cut_case {
    framing how;
    connection_end end;
    bool kept; ///< on a connection that has carried another exchange
    bool behind_interim;
};

std::string case_name(const testing::TestParamInfo<cut_case>& info)
{
    const auto& played = info.param;
    return name_of(played.how, played.end) + (played.kept ? "_kept" : "_new") +
           (played.behind_interim ? "_behind_interim" : "");
}

std::vector<cut_case> all_cases()
{
    std::vector<cut_case> cases;
    for (const auto how : {framing::length, framing::chunked, framing::connection}) {
        for (const auto end : {connection_end::fin, connection_end::reset}) {
            for (const bool kept : {false, true}) {
                cases.push_back({how, end, kept, false});
                cases.push_back({how, end, kept, true});
            }
        }
    }
    return cases;
}

struct exchanged {
    http_result<http_response> outcome{};
    bool reused = false;   ///< the connection had carried another exchange
    bool reusable = false; ///< afterwards
};

task<http_result<exchanged>> fetch(connection_pool& pool)
{
    const auto until = steady::now() + patience;
    auto taken = co_await pool.acquire(until);
    if (const auto* failed = std::get_if<http_failure>(&taken)) {
        co_return *failed;
    }
    const auto connection = std::get<std::shared_ptr<http_connection>>(taken);
    http_request request;
    request.fields.add("Host", "test");
    exchanged seen;
    seen.outcome = co_await exchange(*connection, request, max_body, until);
    seen.reused = connection->reused();
    seen.reusable = connection->reusable();
    pool.release(connection, patience);
    co_return seen;
}

/// The exchange with a peer that sends only these bytes and ends the connection.
exchanged fetch_bytes(loop_thread& thread, const std::string& bytes, connection_end end, bool kept = false)
{
    scripted_peer peer([&](const scripted_request& request) -> scripted_response {
        if (kept && !request.kept) {
            return {response_text(framing::length, "", "first")};
        }
        return {bytes, end};
    });
    connection_pool pool(thread.context(), peer.address());
    if (kept) {
        thread.run(fetch(pool));
    }
    return std::get<exchanged>(thread.run(fetch(pool)));
}

struct cut_response : testing::TestWithParam<cut_case> {
    loop_thread thread;
};

// Guards against a response that looks complete though its head or its body was cut. A body without length
// and chunks ends with its connection, unless that is reset.
TEST_P(cut_response, counts_as_none)
{
    const auto& played = GetParam();
    const auto prefix = played.behind_interim ? interim : std::string{};
    const auto whole = prefix + response_text(played.how, "Name: value\r\n", body);
    const auto head_bytes = whole.find("\r\n\r\n", prefix.size()) + 4;
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        SCOPED_TRACE("cut after byte " + std::to_string(cut));
        const auto seen = fetch_bytes(thread, whole.substr(0, cut), played.end, played.kept);
        EXPECT_EQ(seen.reused, played.kept);
        EXPECT_FALSE(seen.reusable);
        if (played.how == framing::connection && played.end == connection_end::fin && cut >= head_bytes) {
            ASSERT_TRUE(std::holds_alternative<http_response>(seen.outcome));
            EXPECT_EQ(std::get<http_response>(seen.outcome).body, whole.substr(head_bytes, cut - head_bytes));
            continue;
        }
        ASSERT_TRUE(std::holds_alternative<http_failure>(seen.outcome));
        EXPECT_EQ(std::get<http_failure>(seen.outcome).kind, failure_kind::closed);
        EXPECT_TRUE(std::get<http_failure>(seen.outcome).sent);
    }
}

INSTANTIATE_TEST_SUITE_P(each, cut_response, testing::ValuesIn(all_cases()), case_name);

TEST(whole_response, is_read_though_the_peer_closes)
{
    loop_thread thread;
    for (const auto& played : all_cases()) {
        const auto whole = (played.behind_interim ? interim : "") + response_text(played.how, "", body);
        const auto seen = fetch_bytes(thread, whole, connection_end::fin, played.kept);
        ASSERT_TRUE(std::holds_alternative<http_response>(seen.outcome));
        EXPECT_EQ(std::get<http_response>(seen.outcome).status, 200);
        EXPECT_EQ(std::get<http_response>(seen.outcome).body, body);
    }
}

// Guards against a response whose end can be told in two ways, or whose status was cut.
TEST(ambiguous_response, is_malformed)
{
    loop_thread thread;
    const std::string length = "Content-Length: 5\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunks = "\r\n5\r\nhello\r\n0\r\n\r\n";
    const std::vector<std::string> texts{"HTTP/1.1 20\r\n" + length + "\r\nhello",
                                         "HTTP/1.1 2\r\n" + length + "\r\nhello",
                                         "HTTP/1.1 200 OK\r\n" + length + "Content-Length: 4\r\n\r\nhello",
                                         "HTTP/1.1 200 OK\r\n" + length + "Content-Length: 50\r\n\r\nhello",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 5, 4\r\n\r\nhello",
                                         "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nhello",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\nhello",
                                         "HTTP/1.1 200 OK\r\n" + length + chunked + chunks,
                                         "HTTP/1.1 200 OK\r\n" + chunked + length + chunks,
                                         "HTTP/1.1 200 OK\r\n" + chunked + chunked + chunks};
    for (const auto& text : texts) {
        const auto seen = fetch_bytes(thread, text, connection_end::fin);
        EXPECT_FALSE(seen.reusable) << text;
        const auto* failed = std::get_if<http_failure>(&seen.outcome);
        ASSERT_NE(failed, nullptr) << text;
        EXPECT_EQ(failed->kind, failure_kind::malformed) << text;
    }
}

} // namespace
} // namespace vanillagauge::net
