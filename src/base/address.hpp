/// Addresses in the form IP:PORT.
#ifndef VANILLAGAUGE_BASE_ADDRESS_HPP
#define VANILLAGAUGE_BASE_ADDRESS_HPP

#include "base/result.hpp"

#include <cstdint>
#include <string>

namespace vanillagauge {

struct endpoint {
    std::string host;       ///< an IP address
    std::uint16_t port = 0; ///< 0: any free port, for a listening address
};

/// `invalid_argument` if the text is not an IP:PORT address.
result<endpoint> parse_endpoint(const std::string& address);

} // namespace vanillagauge

#endif
