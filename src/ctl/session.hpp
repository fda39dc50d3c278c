/// Context of a vgctl command: the channel to a keeper, its token, and the output.
#ifndef VANILLAGAUGE_CTL_SESSION_HPP
#define VANILLAGAUGE_CTL_SESSION_HPP

#include "wire/call.hpp"

#include "vanillagauge.pb.h"

#include <ostream>
#include <string>

namespace vanillagauge::ctl {

enum class output_format { table, json };

struct session {
    wire::channel& channel;
    std::string token;
    output_format format = output_format::table;
    std::ostream& out;
};

constexpr milliseconds command_timeout{10000};

template <class Response>
result<Response> call(const session& keeper, const char* method, const google::protobuf::Message& request,
                      milliseconds timeout = command_timeout)
{
    wire::call_options options;
    options.timeout = timeout;
    options.token = keeper.token;
    return wire::call_and_wait<Response>(keeper.channel, wire::method<v1::Operator>(method), request,
                                         options);
}

} // namespace vanillagauge::ctl

#endif
