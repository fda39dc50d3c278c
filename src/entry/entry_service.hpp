/// The service for callers: Locate, Call and Generate.
#ifndef VANILLAGAUGE_ENTRY_ENTRY_SERVICE_HPP
#define VANILLAGAUGE_ENTRY_ENTRY_SERVICE_HPP

#include "node/node.hpp"
#include "observe/metrics.hpp"

#include "vanillagauge.pb.h"

#include <optional>

namespace vanillagauge::entry {

class claim_calls;

/// Shared by the calls of the service; the referenced objects must outlive it.
struct entry_context {
    const config::settings& settings;
    wire::event_loop& loop;
    node::keeper_link& keeper;
    node::channel_pool& targets;
    node::target_directory& directory;
    observe::metrics& metrics;
    std::uint64_t incarnation = 0;
};

/// `not_found` for an unknown deployment, `invalid_argument` for one of another kind; otherwise empty.
std::optional<error> refusal_for(const node::target_directory& directory, const std::string& deployment,
                                 config::target_kind expected);

class entry_service final : public v1::Entry {
public:
    /// `claims` handles calls that are not idempotent.
    entry_service(entry_context context, claim_calls& claims) : context_(context), claims_(claims) {}

    void Locate(google::protobuf::RpcController* control, const v1::LocateRequest* request,
                v1::LocateReply* reply, google::protobuf::Closure* done) override;
    void Call(google::protobuf::RpcController* control, const v1::CallRequest* request, v1::CallReply* reply,
              google::protobuf::Closure* done) override;
    void Generate(google::protobuf::RpcController* control, const v1::GenerateRequest* request,
                  v1::GenerateChunk* reply, google::protobuf::Closure* done) override;

private:
    entry_context context_;
    claim_calls& claims_;
};

} // namespace vanillagauge::entry

#endif
