/// Drawn changes to sound messages, and a raw socket to send them on; for tests of several folders.
#ifndef VANILLAGAUGE_TESTS_DRAWN_BYTES_HPP
#define VANILLAGAUGE_TESTS_DRAWN_BYTES_HPP

#include "base/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <random>
#include <string>

namespace vanillagauge {

/// Another one for each `--gtest_shuffle --gtest_random_seed=N`.
inline std::uint64_t drawn_seed()
{
    constexpr std::uint64_t first_seed = 20261204;
    return first_seed + static_cast<std::uint64_t>(testing::UnitTest::GetInstance()->random_seed());
}

/// Replaces, inserts and removes bytes at drawn places.
inline std::string with_changes(std::string text, std::uint64_t changes, std::mt19937_64& random)
{
    for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
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

/// One to six of them.
inline std::string with_few_changes(std::string text, std::mt19937_64& random)
{
    constexpr std::uint64_t max_changes = 6;
    const auto changes = 1 + random() % max_changes;
    return with_changes(std::move(text), changes, random);
}

inline boost::asio::ip::tcp::endpoint tcp_endpoint(const std::string& address)
{
    const auto parsed = value(parse_endpoint(address));
    return {boost::asio::ip::make_address(parsed.host), parsed.port};
}

/// Sends the bytes, ends its side and reads once; ignores what is answered.
inline void send_raw(const std::string& address, const std::string& bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code failed;
    socket.connect(tcp_endpoint(address), failed);
    ASSERT_FALSE(failed) << "the server is gone";
    boost::asio::write(socket, boost::asio::buffer(bytes), failed);
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, failed);
    std::array<char, 4096> answer{};
    const timeval patience{0, 50000};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    ::recv(socket.native_handle(), answer.data(), answer.size(), 0);
}

} // namespace vanillagauge

#endif
