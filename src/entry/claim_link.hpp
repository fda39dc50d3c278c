/// Calls between the entry processes of a claim pair.
#ifndef VANILLAGAUGE_ENTRY_CLAIM_LINK_HPP
#define VANILLAGAUGE_ENTRY_CLAIM_LINK_HPP

#include "claims/claims.hpp"
#include "node/node.hpp"

#include "vanillagauge.pb.h"

#include <functional>

namespace vanillagauge::entry {

/// The time a call may take, and the trace that it belongs to (empty: none).
struct peer_call_options {
    milliseconds timeout{0};
    observe::trace_context trace{};
};

/// Each completion runs exactly once, within the time given; `unavailable` and `not_run` at once where the
/// VM's entry process is not known to be alive.
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
