/// The head of an HTTP response, and whether it can be relied on.
#ifndef VANILLAGAUGE_NET_RESPONSE_HEAD_HPP
#define VANILLAGAUGE_NET_RESPONSE_HEAD_HPP

#include "net/http_message.hpp"

#include <optional>

namespace vanillagauge::net {

struct response_head {
    int status = 0;
    http_fields fields{};
    bool keep_alive = false; ///< the connection may be reused once the body has been read completely
};

/// Why nothing of a response can be used, its body and what follows it included.
enum class head_defect {
    status,         ///< neither an interim nor a final one
    framed_interim, ///< an interim response that announces a body
    coding,         ///< the body is in a transfer coding that no request asks for
    field_name,     ///< that is no token
};

const char* name(head_defect defect);

/// Whether another head follows, for the same request (RFC 9110, section 15.2).
bool is_interim(const response_head& head);

/// None for a head that a response may have.
std::optional<head_defect> defect_of(const response_head& head);

} // namespace vanillagauge::net

#endif
