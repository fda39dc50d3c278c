/// Client side of a call, independent of the transport.
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
    milliseconds progress_timeout{0}; ///< between two reads of a streamed response; 0: `timeout`
    observe::trace_context trace;     ///< empty: no traceparent is sent
    std::string token;                ///< bearer token; empty: none
    bool fresh_connection = false;    ///< do not use a pooled connection
};

/// Cancels the call; its completion runs with `cancelled`. No effect after the call has completed.
using call_cancel = std::function<void()>;

/// Sends and receives encoded messages; call.hpp has the typed calls.
/// A failure is `not_run` only if the request was certainly not sent or the server reports so.
class channel {
public:
    using on_chunk = std::function<void(std::string_view)>;
    using on_done = std::function<void(result<std::string>)>;

    channel() = default;
    virtual ~channel() = default;
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    virtual codec encoding() const = 0;
    /// `chunk` is empty for a unary call. `done` runs exactly once, on any thread.
    virtual call_cancel start(const std::string& path, std::string body, const call_options& options,
                              on_chunk chunk, on_done done) = 0;
};

} // namespace vanillagauge::wire

#endif
