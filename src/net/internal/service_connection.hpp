/// One accepted connection of an HTTP service: a request at a time, and its end.
#ifndef VANILLAGAUGE_NET_INTERNAL_SERVICE_CONNECTION_HPP
#define VANILLAGAUGE_NET_INTERNAL_SERVICE_CONNECTION_HPP

#include "net/http_service.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <set>

namespace vanillagauge::net {

struct http_service::state : std::enable_shared_from_this<http_service::state> {
    state(loop& shared_context, std::function<service_limits()> limits_source, http_handler request_handler)
        : context(shared_context), acceptor(shared_context), limits(std::move(limits_source)),
          handler(std::move(request_handler))
    {
    }

    loop& context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::function<service_limits()> limits;
    http_handler handler;
    bool draining = false;
    std::set<service_connection*> connections;
    std::size_t in_flight = 0;
    std::optional<http_response> failure_response; ///< answers what is read once the handlers are given up

    void start_connection(boost::asio::ip::tcp::socket socket);
    static task<void> accept_loop(std::shared_ptr<state> owner);
    void close_acceptor();
    static task<void> close_idle(std::shared_ptr<state> owner);
};

class service_connection : public std::enable_shared_from_this<service_connection> {
public:
    service_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_service::state> owner)
        : stream_(std::move(socket)), owner_(std::move(owner))
    {
        owner_->connections.insert(this);
    }
    ~service_connection() { owner_->connections.erase(this); }
    service_connection(const service_connection&) = delete;
    service_connection& operator=(const service_connection&) = delete;

    /// The task holds the connection: it may start after its maker has let go.
    static task<void> serve(std::shared_ptr<service_connection> connection);
    task<bool> write_text(std::string text);
    void abort();
    /// Ends it where no byte of a request has come.
    void close_if_idle();
    /// Answers in place of the handler.
    void abort_request(const http_response& answer);
    /// False: the service has answered in the handler's place.
    bool begin_response();
    /// The head of an answer whose body follows in pieces.
    std::string chunked_head(int status, const http_fields& fields);
    std::string serialize(const http_response& response);
    /// The fields that end a head, for this answer.
    std::string connection_fields();

    bool client_disconnected() const { return client_disconnected_; }
    void on_client_disconnect(std::function<void()> callback);

private:
    enum class stage {
        idle, ///< no byte of a request has come
        reading,
        handling,
        responding, ///< the handler's answer has begun
        aborted,    ///< the service has answered in the handler's place
    };

    boost::beast::tcp_stream stream_;
    std::shared_ptr<http_service::state> owner_;
    boost::beast::flat_buffer buffer_;
    std::function<void()> on_disconnect_;
    std::uint64_t watched_request_ =
        0; ///< the request whose client is watched; each request has a new number
    stage stage_ = stage::reading;
    bool closed_idle_ = false; ///< by this side, without a request
    bool keep_alive_ = true;
    bool aborted_ = false;
    bool client_disconnected_ = false;

    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    task<void> serve_requests();
    task<bool> read_request(parser& message, const service_limits& limits);
    task<bool> wait_for_request(const service_limits& limits);
    task<void> reject(const boost::system::error_code& why, bool in_body);
    task<void> handle(const http_request& request);
    task<void> linger();
    task<void> close_unread();
    bool in_request() const { return stage_ == stage::handling || stage_ == stage::responding; }
    void notify_disconnect();
    void watch_client();
};

} // namespace vanillagauge::net

#endif
