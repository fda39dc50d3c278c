#include "wire/internal/http2_session.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace vanillagauge::wire::internal {
namespace {

constexpr std::uint32_t max_streams = 10000;
constexpr std::uint32_t window_bytes = 4U << 20U;

/// Of a stream and of a header beside their text, here and in nghttp2.
constexpr std::size_t stream_bytes = 1024;
constexpr std::size_t header_bytes = 128;

nghttp2_nv to_nv(const std::pair<std::string, std::string>& header)
{
    // nghttp2 copies name and value and does not modify them.
    auto* key = reinterpret_cast<std::uint8_t*>(const_cast<char*>(header.first.data()));   // NOLINT
    auto* text = reinterpret_cast<std::uint8_t*>(const_cast<char*>(header.second.data())); // NOLINT
    return {key, text, header.first.size(), header.second.size(), NGHTTP2_NV_FLAG_NONE};
}

std::vector<nghttp2_nv> to_nvs(const header_list& headers)
{
    std::vector<nghttp2_nv> list;
    list.reserve(headers.size());
    for (const auto& header : headers) {
        list.push_back(to_nv(header));
    }
    return list;
}

} // namespace

/// C callbacks of nghttp2; the user pointer is the session.
struct http2_callbacks {
    static http2_session& self(void* user) { return *static_cast<http2_session*>(user); }

    static int on_begin_headers(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user)
    {
        auto& session = self(user);
        return session.hold(session.streams_[frame->hd.stream_id], stream_bytes)
                   ? 0
                   : NGHTTP2_ERR_CALLBACK_FAILURE;
    }

    static int on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame, const std::uint8_t* key,
                         std::size_t key_size, const std::uint8_t* text, std::size_t text_size,
                         std::uint8_t /*flags*/, void* user)
    {
        auto& entry = self(user).streams_[frame->hd.stream_id];
        if (!self(user).hold(entry, header_bytes + key_size + text_size)) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        std::string header_name(reinterpret_cast<const char*>(key), key_size);
        std::string header_text(reinterpret_cast<const char*>(text), text_size);
        entry.headers[std::move(header_name)] = std::move(header_text);
        return 0;
    }

    static int on_data(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t stream,
                       const std::uint8_t* bytes, std::size_t size, void* user)
    {
        auto& entry = self(user).streams_[stream];
        if (!self(user).hold(entry, size)) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        entry.received.append(reinterpret_cast<const char*>(bytes), size);
        return 0;
    }

    static int on_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user)
    {
        const bool carries_message = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (carries_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            self(user).events_.on_message(frame->hd.stream_id);
        }
        return 0;
    }

    static int on_stream_close(nghttp2_session* /*session*/, std::int32_t stream, std::uint32_t /*code*/,
                               void* user)
    {
        auto& session = self(user);
        session.events_.on_stream_close(stream);
        if (auto* closed = session.find(stream)) {
            session.release(*closed);
        }
        session.streams_.erase(stream);
        return 0;
    }

    static ssize_t read_body(nghttp2_session* /*session*/, std::int32_t stream, std::uint8_t* buffer,
                             std::size_t room, std::uint32_t* flags, nghttp2_data_source* /*source*/,
                             void* user)
    {
        auto& entry = self(user).streams_[stream];
        const std::size_t count = std::min(room, entry.outgoing.size() - entry.sent);
        std::copy_n(entry.outgoing.data() + entry.sent, count, buffer);
        entry.sent += count;
        if (entry.sent == entry.outgoing.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }
};

http2_session::http2_session(boost::asio::ip::tcp::socket socket, side which, events handlers,
                             std::shared_ptr<message_budget> budget)
    : socket_(std::move(socket)), side_(which), events_(std::move(handlers)), budget_(std::move(budget))
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &http2_callbacks::on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &http2_callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &http2_callbacks::on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &http2_callbacks::on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &http2_callbacks::on_stream_close);
    if (side_ == side::client) {
        nghttp2_session_client_new(&session_, callbacks, this);
    }
    else {
        nghttp2_session_server_new(&session_, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
}

http2_session::~http2_session()
{
    for (auto& [number, stream] : streams_) {
        release(stream);
    }
    nghttp2_session_del(session_);
}

bool http2_session::hold(http2_stream& stream, std::size_t bytes)
{
    if (budget_ && !budget_->take(bytes)) {
        return false;
    }
    stream.counted += bytes;
    return true;
}

void http2_session::release(http2_stream& stream)
{
    const auto counted = std::exchange(stream.counted, 0);
    if (budget_) {
        budget_->give_back(counted);
    }
}

void http2_session::start()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const std::array<nghttp2_settings_entry, 2> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes},
    }};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, window_bytes);
    flush();
    read();
}

std::int32_t http2_session::submit_request(const header_list& headers, std::string body)
{
    const auto list = to_nvs(headers);
    nghttp2_data_provider provider{};
    provider.read_callback = &http2_callbacks::read_body;
    const std::int32_t stream =
        nghttp2_submit_request(session_, nullptr, list.data(), list.size(), &provider, nullptr);
    if (stream >= 0) {
        streams_[stream].outgoing = std::move(body);
        flush();
    }
    return stream;
}

void http2_session::submit_response(std::int32_t stream, const header_list& headers, std::string body)
{
    auto* entry = find(stream);
    if (closed_ || entry == nullptr) {
        return;
    }
    if (!hold(*entry, body.size())) {
        close();
        return;
    }
    entry->outgoing = std::move(body);
    const auto list = to_nvs(headers);
    nghttp2_data_provider provider{};
    provider.read_callback = &http2_callbacks::read_body;
    nghttp2_submit_response(session_, stream, list.data(), list.size(), &provider);
    flush();
}

void http2_session::reset(std::int32_t stream)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    flush();
}

void http2_session::ping()
{
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

void http2_session::close()
{
    if (std::exchange(closed_, true)) {
        return;
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
    events_.on_close();
}

http2_stream* http2_session::find(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    return found == streams_.end() ? nullptr : &found->second;
}

void http2_session::read()
{
    auto self = shared_from_this();
    socket_.async_read_some(
        boost::asio::buffer(block_), [self](const boost::system::error_code& failed, std::size_t count) {
            if (failed || self->closed_) {
                self->close();
                return;
            }
            self->last_received_ = steady::now();
            const auto taken = nghttp2_session_mem_recv(self->session_, self->block_.data(), count);
            if (taken < 0) {
                self->close();
                return;
            }
            self->flush();
            self->read();
        });
}

void http2_session::flush()
{
    if (closed_ || writing_) {
        return;
    }
    write_buffer_.clear();
    const std::uint8_t* bytes = nullptr;
    for (auto size = nghttp2_session_mem_send(session_, &bytes); size > 0;
         size = nghttp2_session_mem_send(session_, &bytes)) {
        write_buffer_.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
        if (write_buffer_.size() >= window_bytes) {
            break;
        }
    }
    if (write_buffer_.empty()) {
        return;
    }
    writing_ = true;
    auto self = shared_from_this();
    boost::asio::async_write(socket_, boost::asio::buffer(write_buffer_),
                             [self](const boost::system::error_code& failed, std::size_t /*count*/) {
                                 self->writing_ = false;
                                 if (failed) {
                                     self->close();
                                     return;
                                 }
                                 self->flush();
                             });
}

} // namespace vanillagauge::wire::internal
