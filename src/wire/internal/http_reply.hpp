/// Serialization of HTTP responses: status line, headers, body and chunks.
#ifndef VANILLAGAUGE_WIRE_INTERNAL_HTTP_REPLY_HPP
#define VANILLAGAUGE_WIRE_INTERNAL_HTTP_REPLY_HPP

#include "wire/codec.hpp"

#include <string>

namespace vanillagauge::wire::internal {

/// Response options taken from the request.
struct reply_options {
    codec encoding = codec::json;
    unsigned version = 11; ///< HTTP version as Beast counts it: 10 or 11
    bool keep_alive = true;
    std::string traceparent; ///< empty: no header
};

/// The default HTTP status of an error code.
unsigned http_status(error_code code);

std::string success_reply(const reply_options& options, std::string_view type, const std::string& body);
/// `status` 0: the default of the error code.
std::string error_reply(const reply_options& options, const error& failure, unsigned status = 0);
/// The head of a streamed response.
std::string stream_head(const reply_options& options);
/// For HTTP/1.0, which has no chunked encoding, returns the bytes unchanged; the close ends the body.
std::string stream_chunk(const reply_options& options, const std::string& bytes);
std::string stream_end(const reply_options& options);

} // namespace vanillagauge::wire::internal

#endif
