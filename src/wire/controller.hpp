/// The RpcController of a service's handler: call metadata, failure and streamed responses.
#ifndef VANILLAGAUGE_WIRE_CONTROLLER_HPP
#define VANILLAGAUGE_WIRE_CONTROLLER_HPP

#include "base/base.hpp"
#include "observe/trace.hpp"

#include <google/protobuf/service.h>

#include <functional>
#include <optional>
#include <string>

namespace vanillagauge::wire {

/// Metadata of one incoming call, set by the transport.
struct incoming_call {
    std::string path; ///< /package.Service/Method
    std::string authorization;
    observe::trace_context trace;
    bool traced = false;     ///< whether to write a span for this call
    milliseconds timeout{0}; ///< 0: none requested
};

class controller final : public google::protobuf::RpcController {
public:
    using writer = std::function<void(const google::protobuf::Message&)>;

    controller(incoming_call call, writer write, std::function<bool()> client_disconnected = {})
        : call_(std::move(call)), write_(std::move(write)),
          client_disconnected_(std::move(client_disconnected))
    {
    }

    const incoming_call& call() const { return call_; }
    const std::optional<error>& failure() const { return failure_; }

    /// The call fails with this error when the handler runs its closure.
    void fail(error failure) { failure_ = std::move(failure); }
    /// Sends one message of a streamed response. Callable from any thread, but not concurrently.
    void write(const google::protobuf::Message& message) { write_(message); }

    // google::protobuf::RpcController
    void Reset() override { failure_.reset(); }
    bool Failed() const override { return failure_.has_value(); }
    std::string ErrorText() const override { return failure_ ? failure_->detail : std::string(); }
    void StartCancel() override {}
    void SetFailed(const std::string& reason) override;
    /// Whether the client of a streamed response has disconnected; further messages are dropped.
    bool IsCanceled() const override { return client_disconnected_ && client_disconnected_(); }
    void NotifyOnCancel(google::protobuf::Closure* callback) override;

private:
    incoming_call call_;
    writer write_;
    std::function<bool()> client_disconnected_;
    std::optional<error> failure_;
};

/// Downcasts the RpcController of a call; valid for every call made by the dispatcher.
controller& controller_of(google::protobuf::RpcController* base);

} // namespace vanillagauge::wire

#endif
