/// The service that entry processes call on each other for claim pairs.
#ifndef VANILLAGAUGE_ENTRY_CLAIM_PEER_SERVICE_HPP
#define VANILLAGAUGE_ENTRY_CLAIM_PEER_SERVICE_HPP

#include "entry/claim_calls.hpp"

namespace vanillagauge::entry {

class claim_peer_service final : public v1::ClaimPeer {
public:
    explicit claim_peer_service(claim_calls& calls) : calls_(calls) {}

    void Record(google::protobuf::RpcController* control, const v1::ClaimRequest* request,
                v1::ClaimReply* reply, google::protobuf::Closure* done) override;
    void Close(google::protobuf::RpcController* control, const v1::ClaimPairRequest* request,
               v1::ClaimPairReply* reply, google::protobuf::Closure* done) override;
    void Transfer(google::protobuf::RpcController* control, const v1::ClaimTransfer* request,
                  v1::ClaimTransferReply* reply, google::protobuf::Closure* done) override;
    void Forward(google::protobuf::RpcController* control, const v1::CallRequest* request,
                 v1::ClaimVerdict* reply, google::protobuf::Closure* done) override;

private:
    claim_calls& calls_;
};

} // namespace vanillagauge::entry

#endif
