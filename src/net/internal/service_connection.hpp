/// One accepted connection of an HTTP service; handles one request at a time.
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
    state(loop& shared_context, std::function<service_limits()> limits_source, http_handler request_handler,
          escape_observer observer, body_admission admission,
          std::shared_ptr<connection_account> shared_account)
        : context(shared_context), acceptor(shared_context), limits(std::move(limits_source)),
          handler(std::move(request_handler)), on_escape(std::move(observer)), bodies(std::move(admission)),
          account(std::move(shared_account))
    {
        if (account && !bodies.budget) {
            bodies.budget = account->bodies();
        }
    }

    loop& context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::function<service_limits()> limits;
    http_handler handler;
    escape_observer on_escape;
    body_admission bodies;
    std::shared_ptr<connection_account> account; ///< null: nothing is bounded
    bool draining = false;
    std::set<service_connection*> connections;
    std::size_t in_flight = 0;
    std::uint64_t accepted = 0;                    ///< connections so far
    std::optional<http_response> failure_response; ///< sent to each further request after abort_requests

    void start_connection(boost::asio::ip::tcp::socket socket);
    static task<void> accept_loop(std::shared_ptr<state> owner);
    void close_acceptor();
    static task<void> close_idle(std::shared_ptr<state> owner);
};

class service_connection : public std::enable_shared_from_this<service_connection> {
public:
    service_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_service::state> owner)
        : stream_(std::move(socket)), owner_(std::move(owner)), number_(++owner_->accepted),
          head_room_(owner_->account ? owner_->account->heads() : nullptr), body_room_(owner_->bodies.budget),
          answer_room_(owner_->bodies.budget), entry_(owner_->account, owner_.get(), actions())
    {
        owner_->connections.insert(this);
    }
    ~service_connection() { owner_->connections.erase(this); }
    service_connection(const service_connection&) = delete;
    service_connection& operator=(const service_connection&) = delete;

    /// The task shares ownership: it may start after the caller has released the connection.
    static task<void> serve(std::shared_ptr<service_connection> connection);
    task<bool> write_text(std::string text);
    task<bool> write_response(http_response response);
    void abort();
    /// Closes the connection if no byte of a request has been received.
    void close_if_idle();
    /// Sends `answer` in place of the response of a running handler; closes an idle connection.
    void abort_request(const http_response& answer);
    /// False if the request was aborted and its response already sent.
    bool begin_response();
    /// The head of a response with a chunked body.
    std::string chunked_head(int status, const http_fields& fields);
    /// The Connection field, if needed, and the empty line that ends the head.
    std::string connection_fields();

    std::uint64_t number() const { return number_; }
    bool client_disconnected() const { return client_disconnected_; }
    void on_client_disconnect(std::function<void()> callback);
    /// Takes room for so many bytes of the response in all.
    bool take_answer_room(std::size_t bytes);
    void release_body_room() { body_room_.release(); }

private:
    enum class stage {
        idle, ///< no byte of a request received
        reading,
        handling,
        responding, ///< the response has started
        aborted,    ///< abort_request sent the response
    };

    /// How long, and how much, to read on after the last response: closing a socket with unread bytes resets
    /// the connection, which can destroy the response before the client has read it.
    struct unread_limit {
        duration time = milliseconds{1000};
        std::size_t bytes = std::size_t{1} << 20U;
    };

    boost::beast::tcp_stream stream_;
    std::shared_ptr<http_service::state> owner_;
    std::uint64_t number_;
    boost::beast::flat_buffer buffer_;
    byte_reservation head_room_; ///< of the request's head
    byte_reservation body_room_; ///< of its body
    byte_reservation answer_room_;
    connection_entry entry_;
    std::function<void()> on_disconnect_;
    std::uint64_t watched_request_ = 0; ///< number of the request watched for a disconnect
    unread_limit unread_;
    stage stage_ = stage::reading;
    bool closed_idle_ = false; ///< closed locally without a request
    bool keep_alive_ = true;
    bool aborted_ = false;
    bool client_disconnected_ = false;

    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    task<void> serve_requests();
    task<bool> read_request(parser& message, const service_limits& limits);
    /// Reads the head, where there is room for one that has not come as a whole.
    task<boost::system::error_code> read_head(parser& message, const service_limits& limits);
    /// Reads the rest of the message, where there is room for it.
    task<bool> read_body(parser& message, const service_limits& limits);
    task<void> refuse_body(parser& message, std::size_t bytes, const service_limits& limits);
    task<bool> wait_for_request(const service_limits& limits);
    task<void> reject(const boost::system::error_code& why, bool in_body);
    task<void> handle(http_request& request);
    task<void> run_handler(http_request& request, responder& answer);
    task<bool> write_all(std::string_view head, std::string_view body);
    /// The head of a complete response.
    std::string response_head(const http_response& response);
    /// Reads on until the client closes or all of `unread_` is over.
    task<void> linger();
    connection_actions actions();
    /// Closes the connection for the sake of others.
    void give_up();
    void release_rooms();
    task<void> close_unread();
    bool in_request() const { return stage_ == stage::handling || stage_ == stage::responding; }
    void notify_disconnect();
    void watch_client();
};

} // namespace vanillagauge::net

#endif
