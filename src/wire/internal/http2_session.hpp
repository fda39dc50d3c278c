/// One HTTP/2 connection: nghttp2 for framing, Boost.Asio for I/O. Use on the loop's thread only.
#ifndef VANILLAGAUGE_WIRE_INTERNAL_HTTP2_SESSION_HPP
#define VANILLAGAUGE_WIRE_INTERNAL_HTTP2_SESSION_HPP

#include "base/base.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace vanillagauge::wire::internal {

/// What the sessions of one server hold of messages, on both ways. Used on the loop's thread only.
class message_budget {
public:
    message_budget(std::size_t total, std::function<void()> on_refusal)
        : total_(total), on_refusal_(std::move(on_refusal))
    {
    }

    bool take(std::size_t bytes)
    {
        if (bytes > total_ - held_) {
            on_refusal_();
            return false;
        }
        held_ += bytes;
        return true;
    }
    void give_back(std::size_t bytes) { held_ -= bytes; }

private:
    std::size_t total_;
    std::function<void()> on_refusal_;
    std::size_t held_ = 0;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Data received and to be sent on one stream.
struct http2_stream {
    std::map<std::string, std::string> headers;
    std::string received;
    std::string outgoing;
    std::size_t sent = 0;
    std::size_t counted = 0; ///< in the budget
};

class http2_session : public std::enable_shared_from_this<http2_session> {
public:
    enum class side { client, server };

    struct events {
        std::function<void(std::int32_t stream)> on_message; ///< END_STREAM received: the message is complete
        std::function<void(std::int32_t stream)> on_stream_close;
        std::function<void()> on_close; ///< the connection is closed; called once
    };

    /// A message without room in the budget closes the session; without a budget, all have room.
    http2_session(boost::asio::ip::tcp::socket socket, side which, events handlers,
                  std::shared_ptr<message_budget> budget = nullptr);
    ~http2_session();
    http2_session(const http2_session&) = delete;
    http2_session& operator=(const http2_session&) = delete;

    /// Sends the connection preface and starts reading.
    void start();
    /// Returns the id of the new stream; negative if the connection accepts no more streams.
    std::int32_t submit_request(const header_list& headers, std::string body);
    void submit_response(std::int32_t stream, const header_list& headers, std::string body);
    void reset(std::int32_t stream);
    void ping();
    void close();

    http2_stream* find(std::int32_t stream);
    time_point last_received() const { return last_received_; }
    bool idle() const { return streams_.empty(); }

private:
    static constexpr std::size_t read_block = 16U << 10U;
    boost::asio::ip::tcp::socket socket_;
    side side_;
    events events_;
    std::shared_ptr<message_budget> budget_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, http2_stream> streams_;
    std::array<std::uint8_t, read_block> block_{};
    std::string write_buffer_;
    bool writing_ = false;
    bool closed_ = false;
    time_point last_received_ = steady::now();

    friend struct http2_callbacks;
    /// Counts so many bytes more of the stream's messages; false without room.
    bool hold(http2_stream& stream, std::size_t bytes);
    void release(http2_stream& stream);
    void read();
    void flush();
};

} // namespace vanillagauge::wire::internal

#endif
