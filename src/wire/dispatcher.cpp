#include "wire/dispatcher.hpp"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <memory>
#include <optional>

namespace vanillagauge::wire {
namespace {

/// State of a call until its response; owned by the closure.
struct running_call {
    std::unique_ptr<google::protobuf::Message> request;
    std::unique_ptr<google::protobuf::Message> response;
    std::unique_ptr<controller> control;
    reply_sink sink;
    codec encoding = codec::json;
    bool streamed = false;
    std::optional<observe::span> span;
};

void finish_call(running_call* raw)
{
    const std::unique_ptr<running_call> call(raw);
    if (call->span) {
        const auto& failed = call->control->failure();
        call->span->set_attribute("outcome", failed ? describe(*failed) : "ok");
        call->span.reset();
    }
    if (call->control->failure()) {
        call->sink.finish(*call->control->failure());
        return;
    }
    call->sink.finish(call->streamed ? std::string() : encode(call->encoding, *call->response));
}

} // namespace

void dispatcher::mount(google::protobuf::Service& service, role required)
{
    const auto* description = service.GetDescriptor();
    for (int index = 0; index < description->method_count(); ++index) {
        const auto* method = description->method(index);
        const std::string path = "/" + description->full_name() + "/" + method->name();
        routes_[path] = {&service, method, required};
    }
}

bool dispatcher::is_streaming(const std::string& path) const
{
    const auto found = routes_.find(path);
    return found != routes_.end() && found->second.method->server_streaming();
}

void dispatcher::dispatch(incoming_call call, codec encoding, const std::string& body, reply_sink sink) const
{
    const auto found = routes_.find(call.path);
    if (found == routes_.end()) {
        sink.finish(error{error_code::unimplemented, run_state::not_run, "no method at " + call.path});
        return;
    }
    const route& target = found->second;
    if (!is_authorized(access_, target.required, call.authorization)) {
        sink.finish(error{error_code::unauthenticated, run_state::not_run,
                          "expected the bearer token of the role " + std::string(name(target.required))});
        return;
    }
    auto running = std::make_unique<running_call>();
    running->request.reset(target.service->GetRequestPrototype(target.method).New());
    const auto decoded = decode(encoding, body, *running->request);
    if (!ok(decoded)) {
        sink.finish(failure(decoded));
        return;
    }
    running->response.reset(target.service->GetResponsePrototype(target.method).New());
    running->encoding = encoding;
    running->streamed = target.method->server_streaming();
    running->sink = std::move(sink);
    if (call.traced) {
        const auto* served = target.method->service();
        running->span.emplace(call.trace, served->name() + "/" + target.method->name());
        call.trace = running->span->context();
    }
    auto* raw = running.release();
    const auto write = [raw](const google::protobuf::Message& message) {
        raw->sink.chunk(encode(raw->encoding, message));
    };
    raw->control = std::make_unique<controller>(std::move(call), write, raw->sink.client_disconnected);
    target.service->CallMethod(target.method, raw->control.get(), raw->request.get(), raw->response.get(),
                               google::protobuf::NewCallback(&finish_call, raw));
}

} // namespace vanillagauge::wire
