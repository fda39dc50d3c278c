#include "wire/codec.hpp"

#include "base/retry_delay.hpp"
#include "observe/json_text.hpp"
#include "json/json.hpp"

#include "vanillagauge.pb.h"

#include <google/protobuf/util/json_util.h>

#include <nlohmann/json.hpp>

#include <array>

namespace vanillagauge::wire {
namespace {

constexpr std::size_t frame_header_bytes = 5;
constexpr char message_flag = 0;
constexpr char error_flag = 1;
constexpr std::string_view error_line_start = R"({"error":)";
constexpr std::size_t max_frame_bytes = 64U << 20U;

std::string binary_frame(char flag, std::string_view encoded)
{
    const auto size = static_cast<std::uint32_t>(encoded.size());
    std::string bytes{flag, static_cast<char>(size >> 24U), static_cast<char>(size >> 16U),
                      static_cast<char>(size >> 8U), static_cast<char>(size)};
    bytes += encoded;
    return bytes;
}

std::size_t frame_size(std::string_view head)
{
    std::size_t size = 0;
    for (std::size_t index = 1; index < frame_header_bytes; ++index) {
        size = (size << 8U) | static_cast<unsigned char>(head[index]);
    }
    return size;
}

/// Whether objects and arrays nest deeper than the limit. The JSON parser recurses for each level, so this
/// check before it keeps a sender from exhausting the stack.
bool too_deep(std::string_view text)
{
    std::size_t level = 0;
    bool quoted = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char symbol = text[index];
        if (quoted) {
            index += symbol == '\\' ? 1 : 0;
            quoted = symbol != '"';
        }
        else if (symbol == '"') {
            quoted = true;
        }
        else if (symbol == '{' || symbol == '[') {
            ++level;
        }
        else if (symbol == '}' || symbol == ']') {
            level -= level > 0 ? 1 : 0;
        }
        if (level > max_json_depth) {
            return true;
        }
    }
    return false;
}

/// Error details quote client input, and protobuf prints a line to standard error for each string that is not
/// valid UTF-8, so a client could flood the log.
std::string valid_utf8(const std::string& text)
{
    return parse_json(observe::json_text(text)).get<std::string>();
}

error stream_error(std::string_view what)
{
    return {error_code::incomplete, run_state::in_doubt, std::string(what)};
}

result<done> decoded_error(codec encoding, std::string_view body)
{
    v1::Error message;
    const auto outcome = decode(encoding, body, message);
    if (!ok(outcome)) {
        return stream_error("cannot decode the error that ended the stream");
    }
    return from_message(message);
}

} // namespace

std::string_view content_type(codec encoding, bool streamed)
{
    if (encoding == codec::protobuf) {
        return streamed ? "application/x-protobuf-stream" : "application/x-protobuf";
    }
    return streamed ? "application/x-ndjson" : "application/json";
}

result<codec> parse_content_type(std::string_view type)
{
    const auto media = type.substr(0, type.find(';'));
    if (media.empty() || media == "application/json") {
        return codec::json;
    }
    if (media == "application/x-protobuf") {
        return codec::protobuf;
    }
    return error{error_code::invalid_argument, run_state::not_run,
                 "expected content type application/json or application/x-protobuf, found " +
                     std::string(media)};
}

std::string encode(codec encoding, const google::protobuf::Message& message)
{
    if (encoding == codec::protobuf) {
        return message.SerializeAsString();
    }
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : "{}";
}

result<done> decode(codec encoding, std::string_view body, google::protobuf::Message& message)
{
    if (encoding == codec::protobuf) {
        if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
            return error{error_code::invalid_argument, run_state::not_run,
                         "expected a protobuf " + message.GetTypeName() + ", found malformed bytes"};
        }
        return done{};
    }
    if (too_deep(body)) {
        return error{error_code::invalid_argument, run_state::not_run,
                     "expected JSON of at most " + std::to_string(max_json_depth) + " levels"};
    }
    const auto status = google::protobuf::util::JsonStringToMessage({body.data(), body.size()}, &message);
    if (!status.ok()) {
        return error{error_code::invalid_argument, run_state::not_run,
                     "expected a JSON " + message.GetTypeName() + ": " + status.message().ToString()};
    }
    return done{};
}

v1::Error to_message(const error& failure)
{
    v1::Error message;
    message.set_code(std::string(name(failure.code)));
    switch (failure.ran) {
    case run_state::not_run:
        message.set_run_state(v1::NOT_RUN);
        break;
    case run_state::ran:
        message.set_run_state(v1::RAN);
        break;
    case run_state::in_doubt:
        message.set_run_state(v1::IN_DOUBT);
        break;
    }
    message.set_detail(valid_utf8(failure.detail));
    message.set_retry_after_ms(failure.retry_after.count());
    message.set_redirect(failure.redirect);
    message.set_current(failure.current);
    return message;
}

error from_message(const v1::Error& message)
{
    error failure;
    failure.code = parse_error_code(message.code());
    failure.ran = run_state::in_doubt;
    if (message.run_state() == v1::NOT_RUN) {
        failure.ran = run_state::not_run;
    }
    else if (message.run_state() == v1::RAN) {
        failure.ran = run_state::ran;
    }
    failure.detail = message.detail();
    failure.retry_after = named_retry_delay(message.retry_after_ms());
    failure.redirect = message.redirect();
    failure.current = message.current();
    return failure;
}

std::string frame(codec encoding, std::string_view encoded)
{
    if (encoding == codec::protobuf) {
        return binary_frame(message_flag, encoded);
    }
    return std::string(encoded) + "\n";
}

std::string error_frame(codec encoding, const error& failure)
{
    const std::string encoded = encode(encoding, to_message(failure));
    if (encoding == codec::protobuf) {
        return binary_frame(error_flag, encoded);
    }
    return std::string(error_line_start) + encoded + "}\n";
}

result<done> frame_reader::feed(std::string_view bytes, const std::function<void(std::string_view)>& on_frame)
{
    pending_ += bytes;
    return encoding_ == codec::protobuf ? feed_frames(on_frame) : feed_lines(on_frame);
}

result<done> frame_reader::feed_lines(const std::function<void(std::string_view)>& on_frame)
{
    std::size_t start = 0;
    for (auto end = pending_.find('\n'); end != std::string::npos; end = pending_.find('\n', start)) {
        const std::string_view line(pending_.data() + start, end - start);
        if (line.starts_with(error_line_start)) {
            return decoded_error(
                codec::json, line.substr(error_line_start.size(), line.size() - error_line_start.size() - 1));
        }
        on_frame(line);
        start = end + 1;
    }
    pending_.erase(0, start);
    if (pending_.size() > max_frame_bytes) {
        return stream_error("a line of the stream exceeds the size limit");
    }
    return done{};
}

result<done> frame_reader::feed_frames(const std::function<void(std::string_view)>& on_frame)
{
    std::size_t start = 0;
    while (pending_.size() - start >= frame_header_bytes) {
        const std::string_view head(pending_.data() + start, frame_header_bytes);
        const std::size_t size = frame_size(head);
        if (size > max_frame_bytes) {
            return stream_error("a frame of the stream exceeds the size limit");
        }
        if (pending_.size() - start < frame_header_bytes + size) {
            break;
        }
        const std::string_view payload(pending_.data() + start + frame_header_bytes, size);
        if (head.front() == error_flag) {
            return decoded_error(codec::protobuf, payload);
        }
        on_frame(payload);
        start += frame_header_bytes + size;
    }
    pending_.erase(0, start);
    return done{};
}

} // namespace vanillagauge::wire
