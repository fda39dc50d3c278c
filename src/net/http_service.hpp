/// Serves HTTP/1.1: whole requests in, whole answers or streams out, and word of clients that leave.
#ifndef VANILLAGAUGE_NET_HTTP_SERVICE_HPP
#define VANILLAGAUGE_NET_HTTP_SERVICE_HPP

#include "net/http_message.hpp"
#include "net/task.hpp"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace vanillagauge::net {

/// What one connection may cost.
struct service_limits {
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 32U << 20U;
    milliseconds header_time{10000}; ///< from the first byte of a request to the end of its headers
    milliseconds body_time{30000};   ///< for a body
    milliseconds idle_time{60000};   ///< between two requests
    milliseconds write_time{10000};  ///< longest time a client may take over a piece of its answer
};

class service_connection;

/// The answer to one request. Each call tells whether the bytes were handed over; false: the client is gone.
class responder {
public:
    explicit responder(service_connection& connection) : connection_(connection) {}

    task<bool> send(http_response response);
    /// Begins an answer whose body follows in pieces.
    task<bool> begin(int status, http_fields fields);
    task<bool> write(std::string piece);
    task<bool> finish();
    /// Ends the connection, so that an answer that has begun does not look whole.
    void abort();

    bool client_disconnected() const;
    /// Called once, when the client closes before it has its answer. It ends with the request.
    void on_client_disconnect(std::function<void()> callback);
    bool answered() const { return answered_; }

private:
    service_connection& connection_;
    bool answered_ = false;
    bool begun_ = false;
};

using http_handler = std::function<task<void>(const http_request&, responder&)>;

/// Of one loop; the handler runs as a task a request.
class http_service {
public:
    /// `limits` is asked for each request, so that it may change.
    http_service(loop& context, std::function<service_limits()> limits, http_handler handler);
    ~http_service();
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;

    /// Opens IP:PORT; port 0 picks a free one. Returns the bound address.
    result<std::string> open(const std::string& address);
    /// From now on each answer is the last of its connection.
    void drain();
    /// Drains, takes the connections that wait and then no more, and ends each that stays without a request.
    void close();
    /// From now on answers in place of the handlers, also what is under way; an answer that has begun goes
    /// on.
    void abort_requests(const http_response& answer);

    std::size_t connections() const;
    /// Requests that were read and have no whole answer yet.
    std::size_t in_flight() const;

private:
    friend class service_connection;
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace vanillagauge::net

#endif
