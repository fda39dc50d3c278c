/// Calls between the entry processes of a claim pair.
#ifndef VANILLAGAUGE_ENTRY_CLAIM_LINK_HPP
#define VANILLAGAUGE_ENTRY_CLAIM_LINK_HPP

#include "claims/claims.hpp"
#include "node/node.hpp"

#include "vanillagauge.pb.h"

#include <functional>

namespace vanillagauge::entry {

struct peer_call_options {
    milliseconds timeout{0};
    observe::trace_context trace{}; ///< empty: not traced
};

/// Each completion runs exactly once, within the timeout; at once with `unavailable` and `not_run` where no
/// live entry process of the VM is known.
class claim_link {
public:
    claim_link(node::keeper_link& keeper, node::channel_pool& peers, std::string token)
        : keeper_(keeper), peers_(peers), token_(std::move(token))
    {
    }

    void record(const std::string& vm, const v1::ClaimRequest& request, const peer_call_options& options,
                std::function<void(result<v1::ClaimReply>)> on_done) const;
    void close(const std::string& vm, const v1::ClaimPairRequest& request, const peer_call_options& options,
               std::function<void(result<v1::ClaimPairReply>)> on_done) const;
    void transfer(const std::string& vm, const v1::ClaimTransfer& request, const peer_call_options& options,
                  std::function<void(result<v1::ClaimTransferReply>)> on_done) const;
    void forward(const std::string& vm, const v1::CallRequest& request, const peer_call_options& options,
                 std::function<void(result<v1::ClaimVerdict>)> on_done) const;

private:
    node::keeper_link& keeper_;
    node::channel_pool& peers_;
    std::string token_;

    template <class Response>
    void send(const std::string& vm, const char* method, const google::protobuf::Message& request,
              const peer_call_options& options, std::function<void(result<Response>)> on_done) const;
};

} // namespace vanillagauge::entry

#endif
