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
    /// The most that may arrive before an event is complete, comments included.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    /// Returns the events completed by these bytes. Comments, and events with neither data nor id, are
    /// dropped.
    std::vector<stream_event> feed(std::string_view bytes);
    /// Whether an event exceeded the limit; further bytes are dropped.
    bool too_long() const { return too_long_; }
    /// Whether an incomplete event is buffered.
    bool has_partial_event() const { return !line_.empty() || has_lines_; }

private:
    std::string line_;
    stream_event current_;
    bool has_data_ = false;
    bool has_lines_ = false;
    bool too_long_ = false;
    std::size_t event_bytes_ = 0; ///< since the last complete event

    void parse_line(std::vector<stream_event>& events);
};

} // namespace vanillagauge::net

#endif
