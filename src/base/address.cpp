#include "base/address.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace vanillagauge {

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

} // namespace vanillagauge
