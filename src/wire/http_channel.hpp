/// Channel over HTTP/1.1, using cpprestsdk's client.
#ifndef VANILLAGAUGE_WIRE_HTTP_CHANNEL_HPP
#define VANILLAGAUGE_WIRE_HTTP_CHANNEL_HPP

#include "wire/channel.hpp"
#include "wire/event_loop.hpp"

#include <memory>
#include <string>

namespace vanillagauge::wire {

class http_channel final : public channel {
public:
    /// `address` is host:port. The loop must outlive the channel; calls in flight may outlive the channel.
    http_channel(event_loop& loop, std::string address, codec encoding = codec::json);
    ~http_channel() override;

    codec encoding() const override { return encoding_; }
    call_cancel start(const std::string& path, std::string body, const call_options& options, on_chunk chunk,
                      on_done done) override;

private:
    struct state;
    event_loop& loop_;
    codec encoding_;
    std::unique_ptr<state> state_;
};

} // namespace vanillagauge::wire

#endif
