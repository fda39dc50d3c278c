#include "wire/http_server.hpp"

#include "vanillagauge.pb.h"
#include "wire/internal/address.hpp"

#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace vanillagauge::wire {
namespace {

using web::http::http_request;
using web::http::http_response;

/// Another process can take a reserved port before the listener opens it, so the reservation is repeated.
constexpr int open_attempts = 20;

web::http::status_code http_status(error_code code)
{
    using web::http::status_codes;
    switch (code) {
    case error_code::invalid_argument:
    case error_code::forged_cursor:
        return status_codes::BadRequest;
    case error_code::unauthenticated:
        return status_codes::Unauthorized;
    case error_code::permission_denied:
        return status_codes::Forbidden;
    case error_code::not_found:
    case error_code::unimplemented:
        return status_codes::NotFound;
    case error_code::conflict:
    case error_code::stale_cursor:
    case error_code::expired_key:
        return status_codes::Conflict;
    case error_code::too_large:
        return status_codes::RequestEntityTooLarge;
    case error_code::overloaded:
    case error_code::quarantined:
        return 429;
    case error_code::wrong_node:
        return 421;
    case error_code::deadline_exceeded:
        return status_codes::GatewayTimeout;
    case error_code::unavailable:
    case error_code::draining:
    case error_code::cancelled:
        return status_codes::ServiceUnavailable;
    case error_code::incomplete:
        return status_codes::BadGateway;
    case error_code::internal:
        break;
    }
    return status_codes::InternalError;
}

void set_retry_after(http_response& response, const error& failure)
{
    if (failure.retry_after.count() <= 0) {
        return;
    }
    const auto whole_seconds = std::chrono::ceil<seconds>(failure.retry_after).count();
    response.headers().add("Retry-After", std::to_string(whole_seconds));
}

void send(const http_request& request, const http_response& response)
{
    request.reply(response).then([](const pplx::task<void>& sent) {
        try {
            sent.get();
        }
        catch (const std::exception&) { // NOLINT(bugprone-empty-catch): the client has gone; nobody to tell
        }
    });
}

void send_error(const http_request& request, codec encoding, const error& failure)
{
    http_response response(http_status(failure.code));
    set_retry_after(response, failure);
    response.set_body(encode(encoding, to_message(failure)), std::string(content_type(encoding, false)));
    send(request, response);
}

std::string header(const http_request& request, const char* key)
{
    const auto found = request.headers().find(key);
    return found == request.headers().end() ? std::string() : found->second;
}

milliseconds timeout_of(const http_request& request)
{
    const std::string text = header(request, "x-timeout-ms");
    const bool whole =
        !text.empty() && text.size() < 10 && text.find_first_not_of("0123456789") == std::string::npos;
    return milliseconds{whole ? std::stol(text) : 0};
}

/// A streamed answer: the response starts with the first chunk, so that an early error keeps its status.
class streamed_reply {
public:
    streamed_reply(const http_request& request, codec encoding) : request_(request), encoding_(encoding) {}

    void chunk(std::string_view encoded)
    {
        start();
        put(frame(encoding_, encoded));
    }

    void finish(const result<std::string>& outcome)
    {
        if (!ok(outcome) && !started_) {
            send_error(request_, encoding_, failure(outcome));
            return;
        }
        start();
        if (!ok(outcome)) {
            put(error_frame(encoding_, failure(outcome)));
        }
        buffer_.close(std::ios_base::out).wait();
    }

private:
    http_request request_;
    codec encoding_;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer_;
    bool started_ = false;

    void start()
    {
        if (std::exchange(started_, true)) {
            return;
        }
        http_response response(web::http::status_codes::OK);
        response.set_body(buffer_.create_istream(), std::string(content_type(encoding_, true)));
        send(request_, response);
    }

    void put(const std::string& bytes)
    {
        // The buffer grows in memory and its tasks are complete at once; sync lets the listener send what is
        // there.
        buffer_.putn_nocopy(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()).wait();
        buffer_.sync().wait();
    }
};

} // namespace

void set_http_threads(std::size_t threads)
{
    crossplat::threadpool::initialize_with_threads(threads);
}

struct http_server::state {
    const dispatcher& calls;
    http_limits limits;
    std::map<std::string, std::function<std::string()>> pages;
    std::unique_ptr<web::http::experimental::listener::http_listener> listener;
    std::mutex mutex;
    std::condition_variable idle;
    int in_flight = 0;

    void enter()
    {
        const std::lock_guard lock(mutex);
        ++in_flight;
    }

    void leave()
    {
        const std::lock_guard lock(mutex);
        --in_flight;
        idle.notify_all();
    }

    void serve_page(const http_request& request) const
    {
        const auto page = pages.find(request.relative_uri().path());
        if (page == pages.end()) {
            send_error(
                request, codec::json,
                {error_code::not_found, run_state::not_run, "no page at " + request.relative_uri().path()});
            return;
        }
        http_response response(web::http::status_codes::OK);
        response.set_body(page->second(), "text/plain; version=0.0.4");
        send(request, response);
    }

    void serve_call(const http_request& request)
    {
        const auto encoding = parse_content_type(request.headers().content_type());
        if (!ok(encoding)) {
            send_error(request, codec::json, failure(encoding));
            return;
        }
        if (request.headers().content_length() > limits.body_bytes) {
            send_error(request, value(encoding), too_large());
            return;
        }
        enter();
        request.extract_vector().then(
            [this, request, encoding](const pplx::task<std::vector<unsigned char>>& read) {
                try {
                    const auto body = read.get();
                    run(request, value(encoding), {body.begin(), body.end()});
                }
                catch (const std::exception& broken) {
                    send_error(request, value(encoding),
                               {error_code::incomplete, run_state::not_run,
                                std::string("expected the whole body, found: ") + broken.what()});
                    leave();
                }
            });
    }

    error too_large() const
    {
        return {error_code::too_large, run_state::not_run,
                "expected a body of at most " + std::to_string(limits.body_bytes) + " bytes"};
    }

    void run(const http_request& request, codec encoding, const std::string& body)
    {
        if (body.size() > limits.body_bytes) {
            send_error(request, encoding, too_large());
            leave();
            return;
        }
        incoming_call call;
        call.path = request.relative_uri().path();
        call.authorization = header(request, "authorization");
        call.trace = observe::parse_traceparent(header(request, "traceparent"));
        call.timeout = timeout_of(request);
        reply_sink sink;
        if (calls.streams(call.path)) {
            auto reply = std::make_shared<streamed_reply>(request, encoding);
            sink.chunk = [reply](const std::string& encoded) { reply->chunk(encoded); };
            sink.finish = [this, reply](const result<std::string>& outcome) {
                reply->finish(outcome);
                leave();
            };
        }
        else {
            sink.finish = [this, request, encoding](const result<std::string>& outcome) {
                answer(request, encoding, outcome);
                leave();
            };
        }
        calls.dispatch(std::move(call), encoding, body, std::move(sink));
    }

    static void answer(const http_request& request, codec encoding, const result<std::string>& outcome)
    {
        if (!ok(outcome)) {
            send_error(request, encoding, failure(outcome));
            return;
        }
        http_response response(web::http::status_codes::OK);
        response.set_body(value(outcome), std::string(content_type(encoding, false)));
        send(request, response);
    }
};

http_server::http_server(const dispatcher& calls, http_limits limits,
                         std::map<std::string, std::function<std::string()>> pages)
    : state_(new state{calls, limits, std::move(pages), nullptr, {}, {}, 0})
{
}

http_server::~http_server()
{
    close();
}

result<std::string> http_server::open(const std::string& address)
{
    std::string reason;
    for (int attempt = 0; attempt < open_attempts; ++attempt) {
        const auto bound = internal::reserve_port(address);
        if (!ok(bound)) {
            return failure(bound);
        }
        try {
            namespace listener = web::http::experimental::listener;
            auto server = std::make_unique<listener::http_listener>("http://" + value(bound));
            server->support(web::http::methods::GET,
                            [this](const http_request& request) { state_->serve_page(request); });
            server->support(web::http::methods::POST,
                            [this](const http_request& request) { state_->serve_call(request); });
            server->open().wait();
            state_->listener = std::move(server);
            return value(bound);
        }
        catch (const std::exception& refused) {
            reason = refused.what();
        }
    }
    return error{error_code::unavailable, run_state::not_run, "cannot listen on " + address + ": " + reason};
}

void http_server::close()
{
    if (!state_->listener) {
        return;
    }
    std::unique_lock lock(state_->mutex);
    state_->idle.wait(lock, [this] { return state_->in_flight == 0; });
    lock.unlock();
    try {
        state_->listener->close().wait();
    }
    catch (const std::exception&) { // NOLINT(bugprone-empty-catch): a listener that is already closed
    }
    state_->listener.reset();
}

} // namespace vanillagauge::wire
