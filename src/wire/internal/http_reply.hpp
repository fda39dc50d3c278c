/// Answers of the HTTP front as bytes: status line, headers, body and chunks.
#ifndef VANILLAGAUGE_WIRE_INTERNAL_HTTP_REPLY_HPP
#define VANILLAGAUGE_WIRE_INTERNAL_HTTP_REPLY_HPP

#include "wire/codec.hpp"

#include <string>

namespace vanillagauge::wire::internal {

/// What an answer takes over from its request.
struct reply_options {
    codec encoding = codec::json;
    unsigned version = 11; ///< HTTP version as Beast counts it: 10 or 11
    bool keep_alive = true;
    std::string traceparent; ///< empty: none is echoed
};

/// The status of a typed error, unless the HTTP front knows a closer one.
unsigned http_status(error_code code);

std::string success_reply(const reply_options& options, std::string_view type, const std::string& body);
/// `status` 0: the code's own.
std::string error_reply(const reply_options& options, const error& failure, unsigned status = 0);
/// The head of a streamed answer; its chunks follow.
std::string stream_head(const reply_options& options);
/// HTTP/1.0 knows no chunks: there the bytes go out as they are and the end of the connection ends them.
std::string stream_chunk(const reply_options& options, const std::string& bytes);
std::string stream_end(const reply_options& options);

} // namespace vanillagauge::wire::internal

#endif
