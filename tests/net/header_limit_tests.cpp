#include "loopback.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace vanillagauge::net {
namespace {

task<void> answer_empty(const http_request&, responder& answer)
{
    http_response empty;
    co_await answer.send(std::move(empty));
}

task<int> status_of_request(loop& where, std::string address)
{
    const auto until = steady::now() + milliseconds(2000);
    http_connection connection(where);
    co_await connection.connect(address, until);
    http_request request;
    request.fields.add("Host", "test");
    const auto outcome = co_await exchange(connection, request, 1024, until);
    const auto* response = std::get_if<http_response>(&outcome);
    co_return response == nullptr ? 0 : response->status;
}

int status_with_header_limit(std::size_t bytes)
{
    loop_thread thread;
    service_limits limits;
    limits.header_bytes = bytes;
    http_service service(
        thread.context(), [limits] { return limits; }, answer_empty);
    return thread.run(status_of_request(thread.context(), value(service.open("127.0.0.1:0"))));
}

// Guards against a limit that loses its upper bits, so that every request is too large.
TEST(header_limit, may_be_as_large_as_its_type_allows)
{
    constexpr std::size_t beyond_32_bits = std::size_t{1} << 32U;
    EXPECT_EQ(status_with_header_limit(beyond_32_bits - 1), 200);
    EXPECT_EQ(status_with_header_limit(beyond_32_bits), 200);
    EXPECT_EQ(status_with_header_limit(beyond_32_bits + 1), 200);
    EXPECT_EQ(status_with_header_limit(std::numeric_limits<std::size_t>::max()), 200);
}

TEST(header_limit, refuses_larger_headers)
{
    EXPECT_EQ(status_with_header_limit(8), 431);
}

} // namespace
} // namespace vanillagauge::net
