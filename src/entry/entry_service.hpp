/// The callers' service: Locate, Call and Generate.
#ifndef VANILLAGAUGE_ENTRY_ENTRY_SERVICE_HPP
#define VANILLAGAUGE_ENTRY_ENTRY_SERVICE_HPP

#include "node/node.hpp"
#include "observe/metrics.hpp"

#include "vanillagauge.pb.h"

namespace vanillagauge::entry {

/// What the service's calls share; all outlive it.
struct entry_context {
    const config::settings& settings;
    wire::event_loop& loop;
    node::keeper_link& keeper;
    node::channel_pool& targets;
    node::target_directory& directory;
    observe::metrics& metrics;
    std::uint64_t incarnation = 0;
};

class entry_service final : public v1::Entry {
public:
    explicit entry_service(entry_context context) : context_(context) {}

    void Locate(google::protobuf::RpcController* control, const v1::LocateRequest* request,
                v1::LocateReply* reply, google::protobuf::Closure* done) override;
    void Call(google::protobuf::RpcController* control, const v1::CallRequest* request, v1::CallReply* reply,
              google::protobuf::Closure* done) override;
    void Generate(google::protobuf::RpcController* control, const v1::GenerateRequest* request,
                  v1::GenerateChunk* reply, google::protobuf::Closure* done) override;

private:
    entry_context context_;
};

} // namespace vanillagauge::entry

#endif
