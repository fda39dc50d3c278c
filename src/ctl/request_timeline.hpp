/// Timeline of one request, batch or item from the collected logs of all VMs: its own lines and the preceding
/// state changes that explain its decisions.
#ifndef VANILLAGAUGE_CTL_REQUEST_TIMELINE_HPP
#define VANILLAGAUGE_CTL_REQUEST_TIMELINE_HPP

#include "base/base.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace vanillagauge::ctl {

struct log_line {
    milliseconds time{0}; ///< since the Unix epoch, by the writing VM's clock
    std::string level;
    std::string vm;
    std::string event;
    nlohmann::json fields; ///< the event's other fields
};

enum class line_role {
    own,     ///< contains the id
    batch,   ///< contains the id of the item's batch
    context, ///< a state change of a VM that handled it or of a replica that was tried
};

struct timeline_entry {
    line_role role = line_role::own;
    log_line line;
};

struct request_timeline {
    std::vector<timeline_entry> lines; ///< by time
    std::size_t left_out = 0;          ///< number of omitted context lines
};

/// Parses one text. A log collector's prefix before the first brace is ignored, and lines that are not events
/// are skipped: a killed process can leave a truncated line.
std::vector<log_line> parse_log(const std::string& text);
result<std::vector<log_line>> read_logs(const std::vector<std::string>& files);

/// Empty if no event contains the id.
request_timeline build_timeline(const std::vector<log_line>& lines, const std::string& id);

std::string timeline_text(const std::string& id, const request_timeline& timeline);
std::string timeline_json(const std::string& id, const request_timeline& timeline);

} // namespace vanillagauge::ctl

#endif
