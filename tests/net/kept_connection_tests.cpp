// Connections that are kept, and those of readers that stall.
#include "loopback.hpp"

#include "net/connection_pool.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanillagauge::net {
namespace {

constexpr milliseconds patience{2000};

/// Acquires `count` connections, uses each for one exchange, and releases them in order.
task<std::vector<std::shared_ptr<http_connection>>> fill(connection_pool& pool, std::size_t count)
{
    std::vector<std::shared_ptr<http_connection>> opened;
    const auto until = steady::now() + patience;
    for (std::size_t index = 0; index < count; ++index) {
        auto taken = co_await pool.acquire_new(until);
        opened.push_back(std::get<std::shared_ptr<http_connection>>(taken));
        http_request request;
        request.fields.add("Host", "test");
        co_await exchange(*opened.back(), request, 1024, until);
    }
    for (const auto& connection : opened) {
        pool.release(connection, patience);
    }
    co_return opened;
}

task<std::shared_ptr<http_connection>> take(connection_pool& pool, std::string exchange = {})
{
    auto taken = co_await pool.acquire(steady::now() + patience, std::move(exchange));
    co_return std::get<std::shared_ptr<http_connection>>(taken);
}

/// Acquires a connection, uses it for one exchange with this id, and releases it.
task<std::shared_ptr<http_connection>> use(connection_pool& pool, std::string id)
{
    const auto connection = co_await take(pool, std::move(id));
    http_request request;
    request.fields.add("Host", "test");
    co_await exchange(*connection, request, 1024, steady::now() + patience);
    pool.release(connection, patience);
    co_return connection;
}

task<void> answer_empty(const http_request&, responder& answer)
{
    http_response empty;
    co_await answer.send(std::move(empty));
}

// Guards against a full pool that closes the connections with the longest time left.
TEST(connection_pool, keeps_the_most_recently_used_connections)
{
    constexpr std::size_t one_too_many = 65;
    loop_thread thread;
    http_service service(
        thread.context(), [] { return service_limits{}; }, answer_empty);
    connection_pool pool(thread.context(), value(service.open("127.0.0.1:0")));
    EXPECT_FALSE(pool.has_idle());
    const auto opened = thread.run(fill(pool, one_too_many));
    EXPECT_TRUE(pool.has_idle());
    std::set<http_connection*> kept;
    for (std::size_t index = 1; index < one_too_many; ++index) {
        const auto connection = thread.run(take(pool));
        EXPECT_EQ(connection, opened[one_too_many - index]);
        kept.insert(connection.get());
    }
    EXPECT_FALSE(kept.contains(opened.front().get()));
    EXPECT_FALSE(pool.has_idle());
}

/// Sends one request on an idle connection and waits for its response; false if there is none in that time.
task<bool> answered_within(connection_pool& pool, duration wait)
{
    const auto connection = co_await take(pool);
    http_request request;
    request.fields.add("Host", "test");
    const auto answer = co_await exchange(*connection, request, 1024, steady::now() + wait);
    co_return std::holds_alternative<http_response>(answer);
}

// Guards against connections that went silent together and cost one request each.
TEST(connection_pool, drops_idle_connections_of_a_peer_that_falls_silent)
{
    loop_thread thread;
    bool silent = false;
    http_service service(
        thread.context(), [] { return service_limits{}; },
        [&](const http_request&, responder& answer) -> task<void> {
            if (silent) {
                co_await sleep_for(thread.context(), patience);
            }
            http_response empty;
            co_await answer.send(std::move(empty));
        });
    connection_pool pool(thread.context(), value(service.open("127.0.0.1:0")));
    thread.run(fill(pool, 3));
    EXPECT_TRUE(thread.run(answered_within(pool, patience)));
    EXPECT_TRUE(pool.has_idle());
    silent = true;
    EXPECT_FALSE(thread.run(answered_within(pool, milliseconds(50))));
    EXPECT_FALSE(pool.has_idle());
}

// Guards against a late second copy of a response that is taken for the one to a second request with the same
// id, also if other requests went over the connection in between.
TEST(connection_pool, never_carries_an_id_twice_on_one_connection)
{
    loop_thread thread;
    http_service service(
        thread.context(), [] { return service_limits{}; }, answer_empty);
    connection_pool pool(thread.context(), value(service.open("127.0.0.1:0")));
    const auto first = thread.run(use(pool, "a"));
    EXPECT_EQ(thread.run(use(pool, "b")), first);
    const auto second = thread.run(use(pool, "a"));
    EXPECT_NE(second, first);
    EXPECT_EQ(thread.run(use(pool, "b")), second);
    const auto third = thread.run(use(pool, "a"));
    EXPECT_NE(third, first);
    EXPECT_NE(third, second);
    EXPECT_EQ(thread.run(use(pool, "c")), third);
}

// Guards against a connection whose history grows without bound.
TEST(connection_pool, keeps_no_connection_with_a_full_history)
{
    loop_thread thread;
    http_service service(
        thread.context(), [] { return service_limits{}; }, answer_empty);
    connection_pool pool(thread.context(), value(service.open("127.0.0.1:0")));
    std::set<std::shared_ptr<http_connection>> used;
    for (std::size_t number = 0; number < exchange_history::max_exchanges; ++number) {
        used.insert(thread.run(use(pool, std::to_string(number))));
    }
    EXPECT_EQ(used.size(), 1U);
    EXPECT_FALSE(pool.has_idle());
}

// Guards against megabytes in the gateway for each caller that has stopped reading, and connections that it
// holds for ever.
TEST(http_service, bounds_what_it_holds_for_a_reader_that_stalls)
{
    constexpr std::size_t piece_bytes = 16U << 10U;
    loop_thread thread;
    std::promise<std::size_t> written;
    http_service service(
        thread.context(), [] { return service_limits{.write_time = milliseconds(300)}; },
        [&](const http_request&, responder& answer) -> task<void> {
            http_fields none;
            co_await answer.begin(200, std::move(none));
            std::size_t bytes = 0;
            while (co_await answer.write(std::string(piece_bytes, 'x'))) {
                bytes += piece_bytes;
            }
            answer.abort();
            written.set_value(bytes);
        });
    const auto address = value(service.open("127.0.0.1:0"));
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context, boost::asio::ip::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: t\r\n\r\n")));
    auto outcome = written.get_future();
    ASSERT_EQ(outcome.wait_for(seconds(5)), std::future_status::ready);
    EXPECT_LE(outcome.get(), 256U << 10U);
}

} // namespace
} // namespace vanillagauge::net
