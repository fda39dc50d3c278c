/// Messages between the gateway that has a caller's request and the hub that runs it.
#ifndef VANILLAGAUGE_GATEWAY_CALLERS_RELAY_MESSAGES_HPP
#define VANILLAGAUGE_GATEWAY_CALLERS_RELAY_MESSAGES_HPP

#include "gateway/forwarder.hpp"

#include <string>
#include <string_view>

namespace vanillagauge::gateway {

/// Larger bodies are sent by the gateway that received them.
constexpr std::size_t max_relayed_body = 256U << 10U;

struct relayed_request {
    std::string route;
    std::string service; ///< the one picked of the route's
    std::string host;
    std::string attempt_id;
    std::string organisation; ///< that the request acts for; empty: none
    net::http_request http;   ///< without the caller's key
    milliseconds time_left{0};
    int attempts = 1; ///< most replicas that the hub may send it to
};

/// `invalid_argument` if the text is not JSON, a member is missing or a value is out of range.
result<relayed_request> relayed_request_from_text(std::string_view text);
/// `invalid_argument` for names that JSON cannot represent.
result<std::string> to_text(const relayed_request& request);

/// `invalid_argument` as for a request.
result<relayed_answer> relayed_answer_from_text(std::string_view text);
std::string to_text(const relayed_answer& answer);

} // namespace vanillagauge::gateway

#endif
