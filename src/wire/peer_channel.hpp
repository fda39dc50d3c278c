/// Channel to another process of this service: one long-lived HTTP/2 connection, checked by PING frames and
/// replaced when the peer stops responding.
#ifndef VANILLAGAUGE_WIRE_PEER_CHANNEL_HPP
#define VANILLAGAUGE_WIRE_PEER_CHANNEL_HPP

#include "wire/channel.hpp"
#include "wire/event_loop.hpp"

#include <memory>
#include <string>

namespace vanillagauge::wire {

struct peer_timing {
    milliseconds connect_timeout{1000};
    milliseconds ping_interval{500};
    milliseconds keepalive_timeout{1500}; ///< without received data; then the connection is closed
};

class peer_channel final : public channel {
public:
    /// `address` is host:port. The loop must outlive the channel.
    peer_channel(event_loop& loop, std::string address, peer_timing timing = {});
    ~peer_channel() override;

    codec encoding() const override { return codec::protobuf; }
    /// Streamed responses are not supported: `chunk` must be empty.
    call_cancel start(const std::string& path, std::string body, const call_options& options, on_chunk chunk,
                      on_done done) override;
    /// Closes the connection and fails every call. Callbacks may own the channel, a reference cycle that
    /// would otherwise outlive the loop.
    void close();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace vanillagauge::wire

#endif
