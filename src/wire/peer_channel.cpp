#include "wire/peer_channel.hpp"

#include "base/address.hpp"
#include "vanillagauge.pb.h"
#include "wire/internal/http2_session.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <deque>

namespace vanillagauge::wire {
namespace {

using boost::asio::ip::tcp;
using internal::http2_session;

struct pending_call {
    std::string path;
    std::string body;
    call_options options;
    channel::on_done done;
    timer_cancel deadline;
    std::int32_t stream = 0; ///< 0: not sent yet
    bool finished = false;
};

using call_ptr = std::shared_ptr<pending_call>;

void finish(pending_call& call, result<std::string> outcome)
{
    if (std::exchange(call.finished, true)) {
        return;
    }
    if (call.deadline) {
        call.deadline();
    }
    call.done(std::move(outcome));
}

result<std::string> outcome_of(internal::http2_stream& received)
{
    if (received.headers[":status"] == "200") {
        return std::move(received.received);
    }
    v1::Error message;
    if (!ok(decode(codec::protobuf, received.received, message))) {
        return error{error_code::internal, run_state::in_doubt, "cannot decode the error of the peer"};
    }
    return from_message(message);
}

} // namespace

/// All members are used on the loop's thread only.
struct peer_channel::state : std::enable_shared_from_this<peer_channel::state> {
    event_loop& loop;
    std::string address;
    peer_timing timing;
    std::shared_ptr<http2_session> session;
    std::shared_ptr<tcp::socket> connecting;
    std::deque<call_ptr> unsent;
    std::map<std::int32_t, call_ptr> sent;
    bool closed = false;

    state(event_loop& shared_loop, std::string target, peer_timing times)
        : loop(shared_loop), address(std::move(target)), timing(times)
    {
    }

    void submit(const call_ptr& call)
    {
        if (call->finished) {
            return;
        }
        if (closed) {
            finish(*call, error{error_code::cancelled, run_state::not_run, "the channel is closed"});
            return;
        }
        auto self = shared_from_this();
        call->deadline = loop.after(call->options.timeout, [self, call] {
            self->abort(call, {error_code::deadline_exceeded, run_state::in_doubt,
                               "no response from " + self->address});
        });
        if (session) {
            send(call);
            return;
        }
        unsent.push_back(call);
        connect();
    }

    void send(const call_ptr& call)
    {
        internal::header_list headers{{":method", "POST"},
                                      {":scheme", "http"},
                                      {":path", call->path},
                                      {":authority", address},
                                      {"x-timeout-ms", std::to_string(call->options.timeout.count())}};
        if (!call->options.token.empty()) {
            headers.emplace_back("authorization", "Bearer " + call->options.token);
        }
        if (!call->options.trace.trace_id.empty()) {
            headers.emplace_back("traceparent", observe::traceparent(call->options.trace));
        }
        const auto stream = session->submit_request(headers, std::move(call->body));
        if (stream < 0) {
            finish(*call, error{error_code::unavailable, run_state::not_run,
                                "the connection accepts no more calls"});
            return;
        }
        call->stream = stream;
        sent[stream] = call;
    }

    void abort(const call_ptr& call, error failure)
    {
        if (call->stream == 0) {
            std::erase(unsent, call);
            failure.ran = run_state::not_run;
        }
        else if (session && sent.erase(call->stream) > 0) {
            session->reset(call->stream);
        }
        finish(*call, std::move(failure));
    }

    void connect()
    {
        if (connecting) {
            return;
        }
        const auto parsed = parse_endpoint(address);
        if (!ok(parsed)) {
            fail_unsent(failure(parsed).detail);
            return;
        }
        auto self = shared_from_this();
        auto socket = std::make_shared<tcp::socket>(loop.context());
        connecting = socket;
        auto timer = loop.after(timing.connect_timeout, [socket] {
            boost::system::error_code ignored;
            socket->close(ignored);
        });
        const tcp::endpoint remote(boost::asio::ip::make_address(value(parsed).host), value(parsed).port);
        socket->async_connect(remote, [self, socket, timer](const boost::system::error_code& failed) {
            timer();
            self->connecting.reset();
            if (failed || self->closed) {
                self->fail_unsent("cannot connect to " + self->address + ": " + failed.message());
                return;
            }
            self->start_session(std::move(*socket));
        });
    }

    void fail_unsent(const std::string& reason)
    {
        const auto calls = std::exchange(unsent, {});
        for (const auto& call : calls) {
            finish(*call, error{error_code::unavailable, run_state::not_run, reason});
        }
    }

    void start_session(tcp::socket socket)
    {
        std::weak_ptr<state> weak = shared_from_this();
        auto session_ref = std::make_shared<std::weak_ptr<http2_session>>();
        http2_session::events handlers;
        handlers.on_message = [weak](std::int32_t stream) {
            if (const auto alive = weak.lock()) {
                alive->on_response(stream);
            }
        };
        handlers.on_stream_close = [weak](std::int32_t stream) {
            if (const auto alive = weak.lock()) {
                alive->on_stream_closed(stream);
            }
        };
        handlers.on_close = [weak, session_ref] {
            if (const auto alive = weak.lock()) {
                alive->on_close(session_ref->lock());
            }
        };
        session = std::make_shared<http2_session>(std::move(socket), http2_session::side::client,
                                                  std::move(handlers));
        *session_ref = session;
        session->start();
        watch_session(session);
        const auto waiting = std::exchange(unsent, {});
        for (const auto& call : waiting) {
            if (!call->finished) {
                send(call);
            }
        }
    }

    void on_response(std::int32_t stream)
    {
        const auto found = sent.find(stream);
        auto* received = session ? session->find(stream) : nullptr;
        if (found == sent.end() || received == nullptr) {
            return;
        }
        const auto call = found->second;
        sent.erase(found);
        finish(*call, outcome_of(*received));
    }

    void on_stream_closed(std::int32_t stream)
    {
        const auto found = sent.find(stream);
        if (found == sent.end()) {
            return;
        }
        const auto call = found->second;
        sent.erase(found);
        finish(*call, error{error_code::unavailable, run_state::in_doubt,
                            "the peer closed the stream without a response"});
    }

    void on_close(const std::shared_ptr<http2_session>& which)
    {
        if (which != session) {
            return;
        }
        session.reset();
        const auto lost = std::exchange(sent, {});
        for (const auto& [stream, call] : lost) {
            finish(*call,
                   error{error_code::unavailable, run_state::in_doubt, "lost the connection to " + address});
        }
    }

    /// A connection can stop responding while new ones work, and calls on it would wait until their deadline.
    /// A live peer acknowledges PINGs, so a connection that receives nothing is closed; the next call
    /// reconnects.
    void watch_session(const std::shared_ptr<http2_session>& which)
    {
        auto self = shared_from_this();
        std::weak_ptr<http2_session> weak = which;
        loop.after(timing.ping_interval, [self, weak] {
            const auto alive = weak.lock();
            if (!alive || alive != self->session) {
                return;
            }
            if (steady::now() - alive->last_received() > self->timing.keepalive_timeout) {
                alive->close();
                return;
            }
            alive->ping();
            self->watch_session(alive);
        });
    }

    void close()
    {
        closed = true;
        fail_unsent("the channel is closed");
        if (session) {
            session->close();
        }
    }
};

peer_channel::peer_channel(event_loop& loop, std::string address, peer_timing timing)
    : state_(std::make_shared<state>(loop, std::move(address), timing))
{
}

peer_channel::~peer_channel()
{
    close();
}

void peer_channel::close()
{
    state_->loop.post([shared = state_] { shared->close(); });
}

call_cancel peer_channel::start(const std::string& path, std::string body, const call_options& options,
                                on_chunk /*chunk*/, on_done done)
{
    auto call = std::make_shared<pending_call>();
    call->path = path;
    call->body = std::move(body);
    call->options = options;
    call->done = std::move(done);
    state_->loop.post([shared = state_, call] { shared->submit(call); });
    return [shared = state_, call] {
        shared->loop.post([shared, call] {
            shared->abort(call, {error_code::cancelled, run_state::in_doubt, "the call was cancelled"});
        });
    };
}

} // namespace vanillagauge::wire
