#include "wire/internal/http_reply.hpp"

#include "vanillagauge.pb.h"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>

#include <sstream>

namespace vanillagauge::wire::internal {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned http_1_1 = 11;

using head = http::response<http::empty_body>;

head start_head(const reply_options& options, unsigned status)
{
    head response;
    response.version(options.version);
    response.result(status);
    response.keep_alive(options.keep_alive);
    if (!options.traceparent.empty()) {
        response.set("traceparent", options.traceparent);
    }
    return response;
}

std::string text_of(const head& response)
{
    std::ostringstream text;
    text << response.base();
    return text.str();
}

std::string with_body(head response, std::string_view type, const std::string& body)
{
    response.set(http::field::content_type, {type.data(), type.size()});
    response.content_length(body.size());
    return text_of(response) + body;
}

} // namespace

unsigned http_status(error_code code)
{
    const auto status = [code] {
        switch (code) {
        case error_code::invalid_argument:
        case error_code::forged_cursor:
            return http::status::bad_request;
        case error_code::unauthenticated:
            return http::status::unauthorized;
        case error_code::permission_denied:
            return http::status::forbidden;
        case error_code::not_found:
        case error_code::unimplemented:
            return http::status::not_found;
        case error_code::conflict:
        case error_code::stale_cursor:
        case error_code::expired_key:
            return http::status::conflict;
        case error_code::too_large:
            return http::status::payload_too_large;
        case error_code::overloaded:
        case error_code::quarantined:
            return http::status::too_many_requests;
        case error_code::wrong_node:
            return http::status::misdirected_request;
        case error_code::deadline_exceeded:
            return http::status::gateway_timeout;
        case error_code::unavailable:
        case error_code::draining:
        case error_code::cancelled:
            return http::status::service_unavailable;
        case error_code::incomplete:
            return http::status::bad_gateway;
        case error_code::internal:
            break;
        }
        return http::status::internal_server_error;
    }();
    return static_cast<unsigned>(status);
}

std::string success_reply(const reply_options& options, std::string_view type, const std::string& body)
{
    return with_body(start_head(options, static_cast<unsigned>(http::status::ok)), type, body);
}

std::string error_reply(const reply_options& options, const error& failure, unsigned status)
{
    auto response = start_head(options, status == 0 ? http_status(failure.code) : status);
    if (failure.retry_after.count() > 0) {
        const auto whole_seconds = std::chrono::ceil<seconds>(failure.retry_after).count();
        response.set(http::field::retry_after, std::to_string(whole_seconds));
    }
    if (response.result() == http::status::method_not_allowed) {
        response.set(http::field::allow, "GET, POST");
    }
    return with_body(std::move(response), content_type(options.encoding, false),
                     encode(options.encoding, to_message(failure)));
}

std::string stream_head(const reply_options& options)
{
    auto response = start_head(options, static_cast<unsigned>(http::status::ok));
    const auto type = content_type(options.encoding, true);
    response.set(http::field::content_type, {type.data(), type.size()});
    if (options.version >= http_1_1) {
        response.chunked(true);
    }
    return text_of(response);
}

std::string stream_chunk(const reply_options& options, const std::string& bytes)
{
    if (options.version < http_1_1) {
        return bytes;
    }
    return beast::buffers_to_string(http::make_chunk(boost::asio::buffer(bytes)));
}

std::string stream_end(const reply_options& options)
{
    return options.version < http_1_1 ? std::string() : beast::buffers_to_string(http::make_chunk_last());
}

} // namespace vanillagauge::wire::internal
