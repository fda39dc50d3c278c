/// Maps a call's path to a method of a mounted service, whatever the transport.
#ifndef VANILLAGAUGE_WIRE_DISPATCHER_HPP
#define VANILLAGAUGE_WIRE_DISPATCHER_HPP

#include "wire/access.hpp"
#include "wire/codec.hpp"
#include "wire/controller.hpp"

#include <functional>
#include <map>
#include <string>

namespace vanillagauge::wire {

/// Where a call's answer goes. Exactly one `finish`, after all chunks.
struct reply_sink {
    std::function<void(std::string)> chunk;          ///< one encoded message of a streamed answer
    std::function<void(result<std::string>)> finish; ///< the encoded answer; empty for a streamed one
    std::function<bool()> client_disconnected{};     ///< the client is known to have gone; empty: not known
};

class dispatcher {
public:
    explicit dispatcher(access_table access) : access_(std::move(access)) {}

    /// Opens every method of the service to one role. The service must outlive the dispatcher.
    void mount(google::protobuf::Service& service, role required);

    /// True where the path names a mounted method whose answer is streamed.
    bool is_streaming(const std::string& path) const;

    /// Checks, decodes and runs one call. The sink may be called from any thread, also before this returns.
    void dispatch(incoming_call call, codec encoding, const std::string& body, reply_sink sink) const;

private:
    struct route {
        google::protobuf::Service* service;
        const google::protobuf::MethodDescriptor* method;
        role required;
    };
    access_table access_;
    std::map<std::string, route> routes_;
};

} // namespace vanillagauge::wire

#endif
