/// What a service's handler knows of the call it serves, and how it fails or streams.
#ifndef VANILLAGAUGE_WIRE_CONTROLLER_HPP
#define VANILLAGAUGE_WIRE_CONTROLLER_HPP

#include "base/base.hpp"
#include "observe/trace.hpp"

#include <google/protobuf/service.h>

#include <functional>
#include <optional>
#include <string>

namespace vanillagauge::wire {

/// The transport's part of one incoming call.
struct incoming_call {
    std::string path; ///< /package.Service/Method
    std::string authorization;
    observe::trace_context trace;
    bool traced = false;     ///< a span is written for this call
    milliseconds timeout{0}; ///< 0: the caller named none
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

    /// The call ends with this error once the handler runs its closure.
    void fail(error failure) { failure_ = std::move(failure); }
    /// Sends one message of a streamed answer. Safe from any thread, one at a time.
    void write(const google::protobuf::Message& message) { write_(message); }

    // The interface that protobuf's generated services ask for.
    void Reset() override { failure_.reset(); }
    bool Failed() const override { return failure_.has_value(); }
    std::string ErrorText() const override { return failure_ ? failure_->detail : std::string(); }
    void StartCancel() override {}
    void SetFailed(const std::string& reason) override;
    /// The client of a streamed answer has gone: what is still written reaches nobody.
    bool IsCanceled() const override { return client_disconnected_ && client_disconnected_(); }
    void NotifyOnCancel(google::protobuf::Closure* callback) override;

private:
    incoming_call call_;
    writer write_;
    std::function<bool()> client_disconnected_;
    std::optional<error> failure_;
};

/// The project's controller behind the interface; every call of the dispatcher carries one.
controller& controller_of(google::protobuf::RpcController* base);

} // namespace vanillagauge::wire

#endif
