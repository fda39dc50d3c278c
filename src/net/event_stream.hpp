/// Incremental parser of server-sent events.
#ifndef VANILLAGAUGE_NET_EVENT_STREAM_HPP
#define VANILLAGAUGE_NET_EVENT_STREAM_HPP

#include "net/http_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillagauge::net {

struct stream_event {
    std::optional<std::uint64_t> id;
    std::string data;         ///< data lines joined by line feeds
    http_fields other_fields; ///< fields other than data and id
};

class event_reader {
public:
    /// Returns the events completed by these bytes. Comments, and events with neither data nor id, are
    /// dropped.
    std::vector<stream_event> feed(std::string_view bytes);
    /// Whether an incomplete event is buffered.
    bool has_partial_event() const { return !line_.empty() || has_lines_; }

private:
    std::string line_;
    stream_event current_;
    bool has_data_ = false;
    bool has_lines_ = false;

    void parse_line(std::vector<stream_event>& events);
};

} // namespace vanillagauge::net

#endif
