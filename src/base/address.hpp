/// Addresses in the form IP:PORT.
#ifndef VANILLAGAUGE_BASE_ADDRESS_HPP
#define VANILLAGAUGE_BASE_ADDRESS_HPP

#include "base/result.hpp"

#include <cstdint>
#include <string>

namespace vanillagauge {

struct endpoint {
    std::string host;       ///< an IP number
    std::uint16_t port = 0; ///< 0: any free one, where the address is to listen on
};

/// `invalid_argument` where the text is no such address.
result<endpoint> parse_endpoint(const std::string& address);

} // namespace vanillagauge

#endif
