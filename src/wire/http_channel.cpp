#include "wire/http_channel.hpp"

#include "net/response_head.hpp"
#include "vanillagauge.pb.h"
#include "wire/internal/callback_gate.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cpprest/http_client.h>

#include <sys/socket.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

namespace vanillagauge::wire {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;

constexpr std::size_t read_block = 16U << 10U;
/// Longer than any deadline: the library's timeout does not distinguish a deadline from a stalled connection.
constexpr std::chrono::hours library_timeout{24};
/// Calls cancelled before this time do not count as evidence of an unresponsive connection.
constexpr milliseconds silence_threshold{100};

/// The protocol of an address with a numeric host; none for a host name.
std::optional<tcp> protocol_of(const std::string& address)
{
    const web::uri uri("http://" + address);
    auto host = uri.host();
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code unparsable;
    const auto parsed = asio::ip::make_address(host, unparsable);
    if (unparsable) {
        return std::nullopt;
    }
    return parsed.is_v6() ? tcp::v6() : tcp::v4();
}

// Guards against a request that is delivered after its call was given up: behind a partition the kernel holds
// what was sent, beyond a normal close too. The library closes a connection in use only when it gives it up.
// It shows its socket before it opens it, so that the socket is opened here where the protocol is known.
void reset_on_close(tcp::socket& socket, const std::optional<tcp>& protocol)
{
    boost::system::error_code ignored;
    if (!socket.is_open() && protocol) {
        socket.open(*protocol, ignored);
    }
    if (!socket.is_open()) {
        return;
    }
    const linger at_once{1, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

http_client_config client_config(const std::string& address)
{
    http_client_config config;
    config.set_timeout(library_timeout);
    config.set_nativehandle_options(
        [protocol = protocol_of(address)](web::http::client::native_handle shown) {
            reset_on_close(*static_cast<tcp::socket*>(shown), protocol);
        });
    return config;
}

/// Why a response cannot be used. The library takes interim responses for final ones, and shows the names of
/// fields without the blanks around them.
std::optional<net::head_defect> defect_of(const http_response& response)
{
    net::response_head head;
    head.status = response.status_code();
    for (const auto& [field_name, value] : response.headers()) {
        head.fields.add(field_name, value);
    }
    return net::is_interim(head) ? net::head_defect::status : net::defect_of(head);
}

/// A cpprestsdk client with its connection pool.
struct pooled_client {
    http_client client;
    std::atomic<time_point> last_answer{};

    explicit pooled_client(const std::string& address) : client("http://" + address, client_config(address))
    {
    }
};

/// The current client of a channel; replaced when its pooled connections stop responding.
class client_holder {
public:
    explicit client_holder(std::string address) : address_(std::move(address)), current_(make()) {}

    std::shared_ptr<pooled_client> make() const { return std::make_shared<pooled_client>(address_); }

    std::shared_ptr<pooled_client> current() const
    {
        const std::lock_guard lock(mutex_);
        return current_;
    }

    // All connections to a server can stop responding at once while new ones work. Each call would then time
    // out on another pooled connection. If there was no response during a call that timed out, the pool is
    // replaced; calls in flight keep their connections. Any response since shows that the network works and
    // only this request is slow.
    void replace_if_silent(const std::shared_ptr<pooled_client>& used, time_point since)
    {
        if (used->last_answer.load() > since) {
            return;
        }
        const std::lock_guard lock(mutex_);
        if (current_ == used) {
            current_ = make();
        }
    }

private:
    std::string address_;
    mutable std::mutex mutex_;
    std::shared_ptr<pooled_client> current_;
};

/// A running call.
class http_call : public std::enable_shared_from_this<http_call> {
public:
    http_call(event_loop& loop, codec encoding, const call_options& options,
              std::shared_ptr<client_holder> clients, channel::on_chunk chunk, channel::on_done done)
        : loop_(loop), callbacks_(loop.callbacks()), encoding_(encoding), options_(options),
          clients_(std::move(clients)), chunk_(std::move(chunk)), done_(std::move(done)), reader_(encoding),
          read_buffer_(chunk_ ? read_block : 0)
    {
    }

    void start(const http_request& request)
    {
        client_ = options_.fresh_connection ? clients_->make() : clients_->current();
        auto self = shared_from_this();
        started_at_ = steady::now();
        last_progress_ = started_at_;
        arm_deadline();
        if (chunk_ && options_.progress_timeout.count() > 0) {
            watch_progress();
        }
        client_->client.request(request, cancellation_.get_token())
            .then([self](const pplx::task<http_response>& answer) { self->on_head(answer); });
    }

    /// Only a cancellation after silence_threshold suggests an unresponsive connection.
    void cancel()
    {
        const bool waited = steady::now() - started_at_ >= silence_threshold;
        abort({error_code::cancelled, run_state::in_doubt, "the call was cancelled"}, waited);
    }

private:
    event_loop& loop_; ///< from the library's threads used within `callbacks_` only
    std::shared_ptr<internal::callback_gate> callbacks_;
    codec encoding_;
    call_options options_;
    std::shared_ptr<client_holder> clients_;
    channel::on_chunk chunk_;
    channel::on_done done_;
    std::shared_ptr<pooled_client> client_;
    time_point started_at_;
    pplx::cancellation_token_source cancellation_;
    std::atomic<bool> finished_{false};
    std::mutex mutex_;
    timer_cancel deadline_;
    time_point last_progress_;
    http_response response_;
    frame_reader reader_;
    std::vector<std::uint8_t> read_buffer_;

    void finish(result<std::string> outcome)
    {
        if (finished_.exchange(true)) {
            return;
        }
        callbacks_->run([this, &outcome] {
            cancel_deadline();
            done_(std::move(outcome));
        });
    }

    void cancel_deadline()
    {
        timer_cancel deadline;
        {
            const std::lock_guard lock(mutex_);
            deadline = std::exchange(deadline_, {});
        }
        if (deadline) {
            deadline();
        }
    }

    /// Completes the call first, because the library may be slow to close an unresponsive connection.
    void abort(error failure, bool maybe_silent)
    {
        if (maybe_silent && !finished_) {
            clients_->replace_if_silent(client_, started_at_);
        }
        finish(std::move(failure));
        cancellation_.cancel();
    }

    void arm_deadline()
    {
        auto self = shared_from_this();
        auto timer = loop_.after(options_.timeout, [self] {
            self->abort({error_code::deadline_exceeded, run_state::in_doubt,
                         "no complete response within the timeout"},
                        true);
        });
        const std::lock_guard lock(mutex_);
        deadline_ = std::move(timer);
    }

    /// Fails a stream on an unresponsive connection before its deadline. The time counts from the last byte,
    /// so that a slow stream may continue. The timer holds a weak reference: otherwise short streams would
    /// keep their buffers for the full `progress_timeout`.
    void watch_progress()
    {
        loop_.after(options_.progress_timeout, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self || self->finished_) {
                return;
            }
            if (steady::now() - self->progress() >= self->options_.progress_timeout) {
                self->abort({error_code::unavailable, run_state::in_doubt,
                             "no data received within the progress timeout"},
                            true);
                return;
            }
            self->watch_progress();
        });
    }

    time_point progress()
    {
        const std::lock_guard lock(mutex_);
        return last_progress_;
    }

    void record_progress()
    {
        const std::lock_guard lock(mutex_);
        last_progress_ = steady::now();
    }

    void on_head(const pplx::task<http_response>& answer)
    {
        try {
            response_ = answer.get();
            record_progress();
            client_->last_answer = steady::now();
            if (const auto defect = defect_of(response_)) {
                abort({error_code::incomplete, run_state::in_doubt, net::name(*defect)}, false);
                return;
            }
            const bool succeeded = response_.status_code() == web::http::status_codes::OK;
            if (succeeded && chunk_) {
                read_some();
                return;
            }
            read_body(succeeded);
        }
        catch (const web::http::http_exception& failed) {
            finish(transport_error(failed));
        }
        catch (const std::exception& failed) {
            finish(error{error_code::unavailable, run_state::in_doubt, failed.what()});
        }
    }

    /// The library reports a refused connection as host_unreachable; only then was the request not sent.
    static error transport_error(const web::http::http_exception& failed)
    {
        const bool never_sent = failed.error_code() == std::errc::host_unreachable ||
                                failed.error_code() == std::errc::connection_refused;
        return {error_code::unavailable, never_sent ? run_state::not_run : run_state::in_doubt,
                failed.what()};
    }

    void read_body(bool succeeded)
    {
        auto self = shared_from_this();
        response_.extract_vector().then([self,
                                         succeeded](const pplx::task<std::vector<unsigned char>>& read) {
            try {
                const auto bytes = read.get();
                std::string body(bytes.begin(), bytes.end());
                self->finish(succeeded ? result<std::string>(std::move(body)) : self->error_from_body(body));
            }
            catch (const std::exception& failed) {
                self->finish(error{error_code::incomplete, run_state::in_doubt, failed.what()});
            }
        });
    }

    result<std::string> error_from_body(const std::string& body) const
    {
        v1::Error message;
        if (!ok(decode(encoding_, body, message)) || message.code().empty()) {
            return error{error_code::internal, run_state::in_doubt,
                         "HTTP status " + std::to_string(response_.status_code())};
        }
        return from_message(message);
    }

    /// Reads one byte, then what is available: the library's reads wait for the full requested size.
    void read_some()
    {
        auto self = shared_from_this();
        auto buffer = response_.body().streambuf();
        buffer.getn(read_buffer_.data(), 1)
            .then([self, buffer](const pplx::task<std::size_t>& first) mutable {
                try {
                    std::size_t count = first.get();
                    if (count == 0) {
                        self->end_stream();
                        return;
                    }
                    count += self->take_available(buffer, 1);
                    self->on_bytes(count);
                }
                catch (const std::exception& failed) {
                    self->finish(error{error_code::incomplete, run_state::in_doubt, failed.what()});
                }
            });
    }

    /// Copies the available bytes to `read_buffer_` at `start`. Uses acquire(), which locks the buffer; its
    /// in_avail() does not.
    std::size_t take_available(concurrency::streams::streambuf<std::uint8_t>& buffer, std::size_t start)
    {
        std::uint8_t* bytes = nullptr;
        std::size_t available = 0;
        if (!buffer.acquire(bytes, available) || bytes == nullptr) {
            return 0;
        }
        const std::size_t count = std::min(available, read_block - start);
        std::copy_n(bytes, count, read_buffer_.data() + start);
        buffer.release(bytes, count);
        return count;
    }

    void on_bytes(std::size_t count)
    {
        if (finished_) {
            return;
        }
        record_progress();
        const std::string_view bytes(reinterpret_cast<const char*>(read_buffer_.data()), count);
        result<done> fed = done{};
        const bool open = callbacks_->run([this, bytes, &fed] { fed = reader_.feed(bytes, chunk_); });
        if (!open) {
            return;
        }
        if (!ok(fed)) {
            abort(failure(fed), false);
            return;
        }
        read_some();
    }

    void end_stream()
    {
        if (reader_.at_boundary()) {
            finish(std::string());
            return;
        }
        finish(error{error_code::incomplete, run_state::in_doubt,
                     "the stream ended in the middle of a message"});
    }
};

} // namespace

struct http_channel::state {
    std::shared_ptr<client_holder> clients;
};

http_channel::http_channel(event_loop& loop, std::string address, codec encoding)
    : loop_(loop), encoding_(encoding),
      state_(std::make_unique<state>(state{std::make_shared<client_holder>(std::move(address))}))
{
}

http_channel::~http_channel() = default;

call_cancel http_channel::start(const std::string& path, std::string body, const call_options& options,
                                on_chunk chunk, on_done done)
{
    http_request request(web::http::methods::POST);
    request.set_request_uri(path);
    request.headers().add("X-Timeout-Ms", std::to_string(options.timeout.count()));
    if (!options.trace.trace_id.empty()) {
        request.headers().add("traceparent", observe::traceparent(options.trace));
    }
    if (!options.token.empty()) {
        request.headers().add("Authorization", "Bearer " + options.token);
    }
    request.set_body(std::move(body), std::string(content_type(encoding_, false)));
    auto running = std::make_shared<http_call>(loop_, encoding_, options, state_->clients, std::move(chunk),
                                               std::move(done));
    running->start(request);
    std::weak_ptr<http_call> weak = running;
    return [weak] {
        if (const auto alive = weak.lock()) {
            alive->cancel();
        }
    };
}

} // namespace vanillagauge::wire
