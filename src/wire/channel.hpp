/// The client's side of a call, whatever the transport.
#ifndef VANILLAGAUGE_WIRE_CHANNEL_HPP
#define VANILLAGAUGE_WIRE_CHANNEL_HPP

#include "base/base.hpp"
#include "observe/trace.hpp"
#include "wire/codec.hpp"

#include <functional>
#include <string>

namespace vanillagauge::wire {

struct call_options {
    milliseconds timeout{5000};       ///< for the whole call
    milliseconds progress_timeout{0}; ///< longest silence within a streamed answer; 0: `timeout`
    observe::trace_context trace;     ///< empty: no traceparent is sent
    std::string token;                ///< bearer token; empty: none
    bool fresh_connection = false;    ///< never a pooled connection
};

/// Ends the call early; its completion runs with `cancelled`. Safe after the call has ended.
using call_cancel = std::function<void()>;

/// Encoded messages in, encoded messages out; call.hpp has the typed form.
/// A failure is `not_run` only where the request was provably never sent.
class channel {
public:
    using on_chunk = std::function<void(std::string_view)>;
    using on_done = std::function<void(result<std::string>)>;

    channel() = default;
    virtual ~channel() = default;
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    virtual codec encoding() const = 0;
    /// `chunk` is empty for a call with one answer. `done` runs exactly once, on any thread.
    virtual call_cancel start(const std::string& path, std::string body, const call_options& options,
                              on_chunk chunk, on_done done) = 0;
};

} // namespace vanillagauge::wire

#endif
