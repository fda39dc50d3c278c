/// Calls to another of our processes: one long-lived HTTP/2 connection, checked by PING and replaced when
/// silent.
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
    milliseconds keepalive_timeout{1500}; ///< a connection with nothing received for this long is replaced
};

class peer_channel final : public channel {
public:
    /// `address` is host:port. The loop must outlive the channel.
    peer_channel(event_loop& loop, std::string address, peer_timing timing = {});
    ~peer_channel() override;

    codec encoding() const override { return codec::protobuf; }
    /// Streamed answers are not offered between peers: `chunk` must be empty.
    call_cancel start(const std::string& path, std::string body, const call_options& options, on_chunk chunk,
                      on_done done) override;
    /// Ends the connection and every call; their callbacks may hold the channel and would otherwise keep it,
    /// and themselves, once the loop has ended.
    void close();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace vanillagauge::wire

#endif
