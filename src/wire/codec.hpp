/// JSON and protobuf encodings of the schema's messages, single or framed in a stream.
#ifndef VANILLAGAUGE_WIRE_CODEC_HPP
#define VANILLAGAUGE_WIRE_CODEC_HPP

#include "base/result.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace google::protobuf {
class Message;
}

namespace vanillagauge::v1 {
class Error;
}

namespace vanillagauge::wire {

enum class codec { json, protobuf };

std::string_view content_type(codec encoding, bool streamed);
/// JSON for an empty type; `invalid_argument` for unknown types.
result<codec> parse_content_type(std::string_view type);

std::string encode(codec encoding, const google::protobuf::Message& message);
/// `invalid_argument` for malformed input, including unknown JSON fields.
result<done> decode(codec encoding, std::string_view body, google::protobuf::Message& message);

v1::Error to_message(const error& failure);
error from_message(const v1::Error& message);

/// Frames a message of a stream: a line of JSON, or a flag byte, a 4-byte big-endian length and protobuf.
std::string frame(codec encoding, std::string_view encoded);
std::string error_frame(codec encoding, const error& failure);

/// Incremental parser of a framed stream.
class frame_reader {
public:
    explicit frame_reader(codec encoding) : encoding_(encoding) {}

    /// Calls `on_frame` for each complete frame. Returns the error frame that ended the stream, if any.
    result<done> feed(std::string_view bytes, const std::function<void(std::string_view)>& on_frame);
    /// Whether no partial frame is buffered.
    bool at_boundary() const { return pending_.empty(); }

private:
    codec encoding_;
    std::string pending_;
    result<done> feed_lines(const std::function<void(std::string_view)>& on_frame);
    result<done> feed_frames(const std::function<void(std::string_view)>& on_frame);
};

} // namespace vanillagauge::wire

#endif
