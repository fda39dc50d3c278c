/// Routes calls by path to the methods of mounted services, independent of the transport.
#ifndef VANILLAGAUGE_WIRE_DISPATCHER_HPP
#define VANILLAGAUGE_WIRE_DISPATCHER_HPP

#include "wire/access.hpp"
#include "wire/codec.hpp"
#include "wire/controller.hpp"

#include <functional>
#include <map>
#include <string>

namespace vanillagauge::wire {

/// Receives the response of a call: any chunks, then exactly one `finish`.
struct reply_sink {
    std::function<void(std::string)> chunk;          ///< one encoded message of a streamed response
    std::function<void(result<std::string>)> finish; ///< the encoded response; empty if streamed
    std::function<bool()> client_disconnected{};     ///< whether the client disconnected; empty: unknown
};

class dispatcher {
public:
    explicit dispatcher(access_table access) : access_(std::move(access)) {}

    /// Makes every method of the service callable by one role. The service must outlive the dispatcher.
    void mount(google::protobuf::Service& service, role required);

    /// Whether the path names a mounted server-streaming method.
    bool is_streaming(const std::string& path) const;

    /// Authorizes, decodes and runs one call. The sink may be called from any thread, also before this
    /// returns.
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
