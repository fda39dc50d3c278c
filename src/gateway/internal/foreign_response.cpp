#include "gateway/internal/foreign_response.hpp"

#include "observe/log.hpp"

namespace vanillagauge::gateway {

void report_foreign_response(observe::metrics& counts, const std::string& request, const std::string& replica,
                             int status)
{
    counts.add("foreign_responses_total");
    observe::log(observe::log_level::warning, "foreign_response_dropped",
                 {{"request", request}, {"replica", replica}, {"status", std::int64_t{status}}});
}

} // namespace vanillagauge::gateway
