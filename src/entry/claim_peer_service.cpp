#include "entry/claim_peer_service.hpp"

#include "entry/claim_wire.hpp"
#include "wire/controller.hpp"

namespace vanillagauge::entry {

void claim_peer_service::Record(google::protobuf::RpcController* /*control*/, const v1::ClaimRequest* request,
                                v1::ClaimReply* reply, google::protobuf::Closure* done)
{
    *reply = calls_.record(*request);
    done->Run();
}

void claim_peer_service::Close(google::protobuf::RpcController* /*control*/,
                               const v1::ClaimPairRequest* request, v1::ClaimPairReply* reply,
                               google::protobuf::Closure* done)
{
    *reply = calls_.close(*request);
    done->Run();
}

void claim_peer_service::Transfer(google::protobuf::RpcController* /*control*/,
                                  const v1::ClaimTransfer* request, v1::ClaimTransferReply* reply,
                                  google::protobuf::Closure* done)
{
    *reply = calls_.transfer(*request);
    done->Run();
}

void claim_peer_service::Forward(google::protobuf::RpcController* control, const v1::CallRequest* request,
                                 v1::ClaimVerdict* reply, google::protobuf::Closure* done)
{
    const auto deadline = steady::now() + milliseconds{request->deadline_ms()};
    calls_.call(*request, deadline, wire::controller_of(control).call().trace,
                [reply, done, key = request->key()](const result<v1::CallReply>& answer) {
                    *reply = to_verdict(key, answer);
                    done->Run();
                });
}

} // namespace vanillagauge::entry
