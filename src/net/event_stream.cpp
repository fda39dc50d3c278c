#include "net/event_stream.hpp"

#include <charconv>

namespace vanillagauge::net {

std::vector<stream_event> event_reader::feed(std::string_view bytes)
{
    std::vector<stream_event> events;
    while (!bytes.empty() && !too_long_) {
        const auto end = bytes.find('\n');
        const auto added = bytes.substr(0, end);
        event_bytes_ += added.size() + 1;
        if (event_bytes_ > max_event_bytes) {
            too_long_ = true;
            line_.clear();
            current_ = {};
            has_lines_ = false;
            break;
        }
        line_ += added;
        if (end == std::string_view::npos) {
            break;
        }
        bytes.remove_prefix(end + 1);
        if (!line_.empty() && line_.back() == '\r') {
            line_.pop_back();
        }
        parse_line(events);
        line_.clear();
    }
    return events;
}

void event_reader::parse_line(std::vector<stream_event>& events)
{
    if (line_.empty()) {
        if (has_data_ || current_.id) {
            events.push_back(std::move(current_));
            event_bytes_ = 0;
        }
        current_ = {};
        has_data_ = false;
        has_lines_ = false;
        return;
    }
    has_lines_ = true;
    const std::string_view line = line_;
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (name == "data") {
        current_.data += has_data_ ? "\n" : "";
        current_.data += value;
        has_data_ = true;
    }
    else if (name == "id") {
        std::uint64_t id = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
        if (parsed.ec == std::errc{}) {
            current_.id = id;
        }
    }
    else if (!name.empty()) {
        current_.other_fields.add(name, value);
    }
}

} // namespace vanillagauge::net
