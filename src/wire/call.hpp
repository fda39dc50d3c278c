/// Typed remote procedure calls over a channel.
#ifndef VANILLAGAUGE_WIRE_CALL_HPP
#define VANILLAGAUGE_WIRE_CALL_HPP

#include "wire/channel.hpp"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <future>
#include <memory>
#include <string>

namespace vanillagauge::wire {

/// The path of a method of a generated service: /package.Service/Method.
template <class Service>
std::string method(const char* method_name)
{
    return "/" + Service::descriptor()->full_name() + "/" + method_name;
}

template <class Response>
call_cancel call(channel& link, const std::string& path, const google::protobuf::Message& request,
                 const call_options& options, std::function<void(result<Response>)> on_done)
{
    const codec encoding = link.encoding();
    auto finish = [encoding, on_done = std::move(on_done)](result<std::string> outcome) {
        if (!ok(outcome)) {
            on_done(failure(outcome));
            return;
        }
        Response response;
        const auto decoded = decode(encoding, value(outcome), response);
        if (!ok(decoded)) {
            on_done(error{error_code::incomplete, run_state::ran, failure(decoded).detail});
            return;
        }
        on_done(std::move(response));
    };
    return link.start(path, encode(encoding, request), options, {}, std::move(finish));
}

/// Server-streaming call: runs `on_message` for each message in order, then `on_done`.
template <class Response>
call_cancel stream(channel& link, const std::string& path, const google::protobuf::Message& request,
                   const call_options& options, std::function<void(Response)> on_message,
                   std::function<void(result<done>)> on_done)
{
    const codec encoding = link.encoding();
    auto malformed = std::make_shared<bool>(false);
    auto chunk = [encoding, malformed, on_message = std::move(on_message)](std::string_view bytes) {
        Response message;
        if (!ok(decode(encoding, bytes, message))) {
            *malformed = true;
            return;
        }
        on_message(std::move(message));
    };
    auto finish = [malformed, on_done = std::move(on_done)](result<std::string> outcome) {
        if (!ok(outcome)) {
            on_done(failure(outcome));
        }
        else if (*malformed) {
            on_done(error{error_code::incomplete, run_state::ran, "cannot decode a message of the stream"});
        }
        else {
            on_done(done{});
        }
    };
    return link.start(path, encode(encoding, request), options, std::move(chunk), std::move(finish));
}

/// Blocks the thread until the call completes. For command-line tools and tests only.
template <class Response>
result<Response> call_and_wait(channel& link, const std::string& path,
                               const google::protobuf::Message& request, const call_options& options)
{
    auto promise = std::make_shared<std::promise<result<Response>>>();
    auto future = promise->get_future();
    call<Response>(link, path, request, options,
                   [promise](result<Response> outcome) { promise->set_value(std::move(outcome)); });
    return future.get();
}

} // namespace vanillagauge::wire

#endif
