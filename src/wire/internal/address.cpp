#include "wire/internal/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <charconv>

namespace vanillagauge::wire::internal {

result<endpoint> parse_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    const error malformed{error_code::invalid_argument, run_state::not_run,
                          "expected an address as IP:PORT, found \"" + address + "\""};
    if (colon == std::string::npos) {
        return malformed;
    }
    endpoint parsed{address.substr(0, colon), 0};
    const char* last = address.data() + address.size();
    const auto [end, failure] = std::from_chars(address.data() + colon + 1, last, parsed.port);
    boost::system::error_code not_ip;
    boost::asio::ip::make_address(parsed.host, not_ip);
    if (failure != std::errc{} || end != last || not_ip) {
        return malformed;
    }
    return parsed;
}

result<std::string> reserve_port(const std::string& address)
{
    const auto parsed = parse_endpoint(address);
    if (!ok(parsed)) {
        return failure(parsed);
    }
    if (value(parsed).port != 0) {
        return address;
    }
    boost::asio::io_context context;
    using boost::asio::ip::tcp;
    boost::system::error_code refused;
    tcp::acceptor acceptor(context);
    const tcp::endpoint any(boost::asio::ip::make_address(value(parsed).host), 0);
    acceptor.open(any.protocol(), refused);
    acceptor.bind(any, refused);
    if (refused) {
        return error{error_code::unavailable, run_state::not_run,
                     "cannot bind " + address + ": " + refused.message()};
    }
    return value(parsed).host + ":" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace vanillagauge::wire::internal
