#include "stop_client.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace vanillagauge::tests {

namespace http = boost::beast::http;
using boost::system::error_code;

stop_client::stop_client(const std::string& address)
{
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
    error_code failed;
    socket_.connect({boost::asio::ip::address_v4::loopback(), port}, failed);
    connected_ = !failed;
    closed_ = !connected_;
}

sent_request stop_client::send(const std::string& path, const std::string& id)
{
    sent_request seen;
    seen.id = id;
    seen.connected = connected_;
    const auto text = "POST " + path + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id +
                      "\r\nDeadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi";
    error_code failed;
    // Like a real client, don't send on a connection that is already closed.
    char byte = 0;
    socket_.non_blocking(true, failed);
    socket_.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, failed);
    const bool open = failed == boost::asio::error::would_block;
    socket_.non_blocking(false, failed);
    if (open) {
        boost::asio::write(socket_, boost::asio::buffer(text), failed);
    }
    seen.sent = open && !failed;
    const auto began = steady::now();
    if (seen.sent) {
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        http::read(socket_, buffer, answer, failed);
        if (!failed) {
            seen.status = static_cast<int>(answer.result_int());
            seen.body = answer.body();
        }
        closed_ = failed || !answer.keep_alive();
    }
    else {
        closed_ = true;
    }
    seen.ended_at = steady::now();
    seen.waited = seen.ended_at - began;
    if (closed_) {
        socket_.close(failed);
    }
    return seen;
}

} // namespace vanillagauge::tests
