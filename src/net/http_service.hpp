/// HTTP/1.1 server: complete requests, complete or streamed responses, and detection of client disconnects.
#ifndef VANILLAGAUGE_NET_HTTP_SERVICE_HPP
#define VANILLAGAUGE_NET_HTTP_SERVICE_HPP

#include "net/byte_budget.hpp"
#include "net/connection_account.hpp"
#include "net/http_message.hpp"
#include "net/task.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace vanillagauge::net {

/// Limits of one connection.
struct service_limits {
    /// Of a head, of the extensions of all chunks of a body, and of its trailers.
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 32U << 20U;
    milliseconds header_time{10000}; ///< from the first byte of a request to the end of its headers
    milliseconds body_time{30000};   ///< to read a request body
    milliseconds idle_time{60000};   ///< between two requests
    milliseconds write_time{10000};  ///< to write one part of a response
};

class service_connection;

/// The response to one request. Calls return false if the bytes were not written: the client has
/// disconnected.
class responder {
public:
    explicit responder(service_connection& connection) : connection_(connection) {}

    task<bool> send(http_response response);
    /// Starts a response with a chunked body.
    task<bool> begin(int status, http_fields fields);
    task<bool> write(std::string piece);
    task<bool> finish();
    /// Resets the connection, so that the client cannot take a partial response for a complete one.
    void abort();

    bool client_disconnected() const;
    /// Called at most once, when the client disconnects before the response is complete; dropped after the
    /// request.
    void on_client_disconnect(std::function<void()> callback);
    bool answered() const { return answered_; }
    bool begun() const { return begun_; }
    /// Takes room for so many bytes of the response in all; false if there is none. A response that takes
    /// none is counted once it is sent.
    bool take_room(std::size_t bytes);
    /// The request's body is held no longer: its room is free for others.
    void release_body();
    /// Numbers the service's connections from 1 in the order in which they were accepted.
    std::uint64_t connection_number() const;

private:
    service_connection& connection_;
    bool answered_ = false;
    bool begun_ = false;
};

/// The handler may move the body out of the request.
using http_handler = std::function<task<void>(http_request&, responder&)>;

/// Called with a request whose handler has thrown, and the exception's message.
using escape_observer = std::function<void(const http_request&, std::string_view)>;

/// What decides whether a request's body is taken in. A body without room is not read, and its request, whose
/// handler is not called, gets the refusal.
struct body_admission {
    /// The refusal of a request, which has no body, and when room for so many bytes is expected.
    using refusal = std::function<http_response(const http_request&, std::size_t bytes, duration wait)>;

    std::shared_ptr<byte_budget> budget{}; ///< null: the account's, or room for all without one
    refusal refuse{};                      ///< null: 503 without a time
};

/// Runs on one loop; the handler runs as one task per request. `account` bounds the connections and the
/// memory of all services that share it. An exception that escapes the handler ends its request with 500, or
/// by a reset once the response has begun; std::bad_alloc ends the process.
class http_service {
public:
    /// `limits` is called for each request, so that the limits may change.
    http_service(loop& context, std::function<service_limits()> limits, http_handler handler,
                 escape_observer on_escape = nullptr, body_admission bodies = {},
                 std::shared_ptr<connection_account> account = nullptr);
    ~http_service();
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;

    /// Listens on IP:PORT; port 0 picks a free port. Tries again for `patience` while the address is in use,
    /// and blocks meanwhile. Returns the bound address; `invalid_argument` or `unavailable`, after which it
    /// may be called again.
    result<std::string> open(const std::string& address, duration patience = duration{0});
    /// From now on each connection closes after its current response.
    void drain();
    /// Drains, accepts the pending connections, stops listening, and closes idle connections.
    void close();
    /// Sends `answer` to every request whose response has not started, and to all later ones; started
    /// responses continue.
    void abort_requests(const http_response& answer);

    std::size_t connections() const;
    /// Requests read whose response is not complete.
    std::size_t in_flight() const;

private:
    friend class service_connection;
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace vanillagauge::net

#endif
