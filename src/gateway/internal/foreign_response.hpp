/// Responses that do not belong to the request they were read for.
#ifndef VANILLAGAUGE_GATEWAY_INTERNAL_FOREIGN_RESPONSE_HPP
#define VANILLAGAUGE_GATEWAY_INTERNAL_FOREIGN_RESPONSE_HPP

#include "observe/metrics.hpp"

#include <string>

namespace vanillagauge::gateway {

/// Logs and counts a response that is dropped because it answers another request than `request`.
void report_foreign_response(observe::metrics& counts, const std::string& request, const std::string& replica,
                             int status);

} // namespace vanillagauge::gateway

#endif
