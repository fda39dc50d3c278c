/// Addresses in the form host:port.
#ifndef VANILLAGAUGE_WIRE_INTERNAL_ADDRESS_HPP
#define VANILLAGAUGE_WIRE_INTERNAL_ADDRESS_HPP

#include "base/result.hpp"

#include <cstdint>
#include <string>

namespace vanillagauge::wire::internal {

struct endpoint {
    std::string host; ///< an IP number
    std::uint16_t port = 0;
};

result<endpoint> parse_endpoint(const std::string& address);

} // namespace vanillagauge::wire::internal

#endif
