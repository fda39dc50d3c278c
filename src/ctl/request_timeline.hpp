/// What the collected logs of all VMs say about one request, batch or item: its own lines, and the changes of
/// belief that its decisions rested on.
#ifndef VANILLAGAUGE_CTL_REQUEST_TIMELINE_HPP
#define VANILLAGAUGE_CTL_REQUEST_TIMELINE_HPP

#include "base/base.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace vanillagauge::ctl {

struct log_line {
    milliseconds time{0}; ///< since 1970, by the clock of the VM that wrote it
    std::string level;
    std::string vm;
    std::string event;
    nlohmann::json fields; ///< all that the event says besides
};

enum class line_role {
    own,     ///< names the id
    batch,   ///< names the batch of an item
    context, ///< a belief of a VM that handled it, or of a replica that was tried
};

struct timeline_entry {
    line_role role = line_role::own;
    log_line line;
};

struct request_timeline {
    std::vector<timeline_entry> lines; ///< by time
    std::size_t left_out = 0;          ///< lines of context beyond the bound
};

/// Lines of one text; whatever stands before the first brace is a collector's, and lines that are no events
/// are passed over: a process that was killed leaves half a line.
std::vector<log_line> parse_log(const std::string& text);
result<std::vector<log_line>> read_logs(const std::vector<std::string>& files);

/// Without lines where no event names the id.
request_timeline build_timeline(const std::vector<log_line>& lines, const std::string& id);

std::string timeline_text(const std::string& id, const request_timeline& timeline);
std::string timeline_json(const std::string& id, const request_timeline& timeline);

} // namespace vanillagauge::ctl

#endif
