#include "wire/peer_server.hpp"

#include "base/address.hpp"
#include "base/listening.hpp"
#include "vanillagauge.pb.h"
#include "wire/internal/http2_session.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace vanillagauge::wire {
namespace {

using boost::asio::ip::tcp;
using internal::http2_session;
using internal::message_budget;

constexpr milliseconds accept_retry_delay{50};

milliseconds timeout_header(const std::map<std::string, std::string>& headers)
{
    const auto found = headers.find("x-timeout-ms");
    if (found == headers.end() || found->second.size() > 9) {
        return milliseconds{0};
    }
    return milliseconds{std::strtol(found->second.c_str(), nullptr, 10)};
}

std::string text_header(const std::map<std::string, std::string>& headers, const char* key)
{
    const auto found = headers.find(key);
    return found == headers.end() ? std::string() : found->second;
}

} // namespace

struct peer_server::state : std::enable_shared_from_this<peer_server::state> {
    event_loop& loop;
    const dispatcher& calls;
    tcp::acceptor acceptor;
    boost::asio::steady_timer accept_retry_timer;
    std::set<std::shared_ptr<http2_session>> sessions;
    std::size_t max_sessions;
    std::function<void(closing_cause)> on_closed;
    std::shared_ptr<message_budget> budget;

    state(event_loop& shared_loop, const dispatcher& served, const peer_limits& limits)
        : loop(shared_loop), calls(served), acceptor(shared_loop.context()),
          accept_retry_timer(shared_loop.context()), max_sessions(limits.connections),
          on_closed(limits.on_closed), budget(std::make_shared<message_budget>(limits.message_bytes, [this] {
              if (on_closed) {
                  on_closed(closing_cause::memory);
              }
          }))
    {
    }

    // A client that has a call in flight is not closed for another one, unless all have.
    void close_one()
    {
        const auto sooner = [](const auto& one, const auto& other) {
            const auto rank = [](const auto& session) {
                return std::pair(!session->idle(), session->last_received());
            };
            return rank(one) < rank(other);
        };
        const auto first = std::min_element(sessions.begin(), sessions.end(), sooner);
        const auto given_up = sessions.extract(first);
        given_up.value()->close();
        if (on_closed) {
            on_closed(closing_cause::connections);
        }
    }

    void accept()
    {
        auto self = shared_from_this();
        acceptor.async_accept([self](const boost::system::error_code& failed, tcp::socket socket) {
            if (!failed) {
                if (self->sessions.size() >= self->max_sessions) {
                    self->close_one();
                }
                self->start_session(std::move(socket));
                self->accept();
            }
            else if (self->acceptor.is_open()) {
                self->accept_later();
            }
        });
    }

    // Usually out of file descriptors; the delay keeps accept from failing in a tight loop.
    void accept_later()
    {
        auto self = shared_from_this();
        accept_retry_timer.expires_after(accept_retry_delay);
        accept_retry_timer.async_wait([self](const boost::system::error_code& cancelled) {
            if (!cancelled && self->acceptor.is_open()) {
                self->accept();
            }
        });
    }

    void start_session(tcp::socket socket)
    {
        auto session_ref = std::make_shared<std::weak_ptr<http2_session>>();
        std::weak_ptr<state> weak = shared_from_this();
        http2_session::events handlers;
        handlers.on_message = [weak, session_ref](std::int32_t stream) {
            const auto alive = weak.lock();
            const auto session = session_ref->lock();
            if (alive && session) {
                alive->serve(session, stream);
            }
        };
        handlers.on_stream_close = [](std::int32_t) {};
        handlers.on_close = [weak, session_ref] {
            if (const auto alive = weak.lock()) {
                alive->sessions.erase(session_ref->lock());
            }
        };
        auto session = std::make_shared<http2_session>(std::move(socket), http2_session::side::server,
                                                       std::move(handlers), budget);
        *session_ref = session;
        sessions.insert(session);
        session->start();
    }

    void serve(const std::shared_ptr<http2_session>& session, std::int32_t stream)
    {
        auto* received = session->find(stream);
        if (received == nullptr) {
            return;
        }
        incoming_call call;
        call.path = text_header(received->headers, ":path");
        call.authorization = text_header(received->headers, "authorization");
        const auto parent = text_header(received->headers, "traceparent");
        call.trace = observe::parse_traceparent(parent);
        call.traced = !parent.empty();
        call.timeout = timeout_header(received->headers);
        const std::string body = std::move(received->received);
        std::weak_ptr<http2_session> weak = session;
        reply_sink sink;
        sink.finish = [this, weak, stream](const result<std::string>& outcome) {
            answer(weak, stream, outcome);
        };
        calls.dispatch(std::move(call), codec::protobuf, body, std::move(sink));
    }

    /// Handlers may complete on any thread; the session is used on the loop's thread only.
    void answer(const std::weak_ptr<http2_session>& weak, std::int32_t stream,
                const result<std::string>& outcome) const
    {
        std::string status = "200";
        std::string body;
        if (ok(outcome)) {
            body = value(outcome);
        }
        else {
            status = "500";
            body = encode(codec::protobuf, to_message(failure(outcome)));
        }
        loop.post([weak, stream, status, body = std::move(body)] {
            if (const auto session = weak.lock()) {
                session->submit_response(stream, {{":status", status}}, body);
            }
        });
    }
};

peer_server::peer_server(event_loop& loop, const dispatcher& calls, const peer_limits& limits)
    : state_(std::make_shared<state>(loop, calls, limits))
{
}

peer_server::~peer_server()
{
    close();
}

result<std::string> peer_server::open(const std::string& address)
{
    const auto parsed = parse_endpoint(address);
    if (!ok(parsed)) {
        return failure(parsed);
    }
    const auto& [host, port] = value(parsed);
    const tcp::endpoint local(boost::asio::ip::make_address(host), port);
    const auto failed = listen(state_->acceptor, local, address_wait);
    if (failed) {
        return listening_error(address, failed);
    }
    const auto bound = host + ":" + std::to_string(state_->acceptor.local_endpoint().port());
    state_->loop.post([shared = state_] { shared->accept(); });
    return bound;
}

void peer_server::close()
{
    state_->loop.run_and_wait([this] {
        boost::system::error_code ignored;
        state_->acceptor.close(ignored);
        state_->accept_retry_timer.cancel();
        const auto open_sessions = state_->sessions;
        for (const auto& session : open_sessions) {
            session->close();
        }
    });
}

} // namespace vanillagauge::wire
