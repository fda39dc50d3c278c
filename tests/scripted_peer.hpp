/// An HTTP peer whose responses are written as bytes, whole or cut; for tests of several folders.
#ifndef VANILLAGAUGE_TESTS_SCRIPTED_PEER_HPP
#define VANILLAGAUGE_TESTS_SCRIPTED_PEER_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace vanillagauge {

/// How the end of a response's body is told.
enum class framing {
    length,     ///< Content-Length
    chunked,    ///< Transfer-Encoding: chunked
    connection, ///< neither: the body ends with the connection
};

/// What a peer does after the bytes of a response.
enum class connection_end {
    none, ///< keeps the connection
    fin,
    reset,
};

/// For the name of a test, as "length_fin".
inline std::string name_of(framing how, connection_end end)
{
    const std::string framed = how == framing::length    ? "length"
                               : how == framing::chunked ? "chunked"
                                                         : "unframed";
    return framed + (end == connection_end::fin ? "_fin" : "_reset");
}

/// The fields are lines that end with CRLF; the line that tells the framing comes last.
inline std::string response_text(framing how, const std::string& fields, const std::string& body)
{
    const auto head = "HTTP/1.1 200 OK\r\n" + fields;
    if (how == framing::connection) {
        return head + "\r\n" + body;
    }
    if (how == framing::length) {
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    constexpr std::size_t chunk_bytes = 9;
    auto text = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += chunk_bytes) {
        const auto chunk = body.substr(at, chunk_bytes);
        text += std::to_string(chunk.size()) + "\r\n" + chunk + "\r\n";
    }
    return text + "0\r\n\r\n";
}

struct scripted_response {
    std::string bytes;
    connection_end end = connection_end::none;
};

struct scripted_request {
    boost::beast::http::request<boost::beast::http::string_body> http;
    bool kept = false; ///< whether an earlier request came on the same connection

    std::string field(const std::string& name) const { return std::string(http[name]); }
};

/// Responds to each request as the script says, which is called under a lock.
class scripted_peer {
public:
    using script = std::function<scripted_response(const scripted_request&)>;

    explicit scripted_peer(script responses)
        : script_(std::move(responses)), acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_([this] { accept(); })
    {
    }
    ~scripted_peer()
    {
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
        for (auto& accepted : accepted_) {
            end(accepted.socket, connection_end::fin);
            accepted.thread.join();
        }
    }
    scripted_peer(const scripted_peer&) = delete;
    scripted_peer& operator=(const scripted_peer&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

private:
    using tcp = boost::asio::ip::tcp;

    struct accepted_connection {
        explicit accepted_connection(tcp::socket accepted) : socket(std::move(accepted)) {}

        tcp::socket socket;
        std::atomic<bool> served = false; ///< set last by `thread`
        std::thread thread{};
    };

    script script_;
    std::mutex mutex_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::list<accepted_connection> accepted_{}; ///< of `thread_`, then of the destructor
    std::thread thread_;

    void accept()
    {
        while (true) {
            tcp::socket socket(context_);
            boost::system::error_code failed;
            acceptor_.accept(socket, failed);
            if (failed) {
                return;
            }
            join_served();
            auto& accepted = accepted_.emplace_back(std::move(socket));
            accepted.thread = std::thread([this, &accepted] {
                serve(accepted.socket);
                accepted.served = true;
            });
        }
    }

    /// Thread sanitizers hold some thousand threads that have ended and were not joined.
    void join_served()
    {
        accepted_.remove_if([](accepted_connection& accepted) {
            if (!accepted.served) {
                return false;
            }
            accepted.thread.join();
            return true;
        });
    }

    void serve(tcp::socket& socket)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code failed;
        bool kept = false;
        while (true) {
            scripted_request request{{}, kept};
            boost::beast::http::read(socket, buffer, request.http, failed);
            if (failed) {
                return end(socket, connection_end::fin);
            }
            const auto response = respond(request);
            boost::asio::write(socket, boost::asio::buffer(response.bytes), failed);
            if (failed || response.end != connection_end::none) {
                return end(socket, response.end);
            }
            kept = true;
        }
    }

    scripted_response respond(const scripted_request& request)
    {
        const std::lock_guard lock(mutex_);
        return script_(request);
    }

    /// Without a reset, the socket stays open for the other thread that may end it.
    void end(tcp::socket& socket, connection_end how)
    {
        const std::lock_guard lock(mutex_);
        boost::system::error_code ignored;
        if (how == connection_end::reset) {
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        }
        else if (socket.is_open()) {
            socket.shutdown(tcp::socket::shutdown_both, ignored);
        }
    }
};

} // namespace vanillagauge

#endif
