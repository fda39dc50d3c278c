#include "entry/claim_link.hpp"

#include "wire/call.hpp"

namespace vanillagauge::entry {
namespace {

/// Empty where the VM has no live entry process. A draining process still serves its pairs.
std::string entry_address(const node::view& view, const std::string& vm)
{
    for (const auto& member : view.nodes) {
        if (member.info.vm != vm || member.state == fleet::member_state::dead) {
            continue;
        }
        for (const auto& process : member.info.processes) {
            if (process.role == "entry") {
                return process.peer_address;
            }
        }
    }
    return {};
}

} // namespace

template <class Response>
void claim_link::send(const std::string& vm, const char* method, const google::protobuf::Message& request,
                      const peer_call_options& options, std::function<void(result<Response>)> on_done) const
{
    const auto address = entry_address(*keeper_.current(), vm);
    if (address.empty() || options.timeout.count() <= 0) {
        on_done(error{error_code::unavailable, run_state::not_run, "no entry process is known on " + vm});
        return;
    }
    wire::call_options call_options;
    call_options.timeout = options.timeout;
    call_options.trace = options.trace;
    call_options.token = token_;
    wire::call<Response>(*peers_.at(address), wire::method<v1::ClaimPeer>(method), request, call_options,
                         std::move(on_done));
}

void claim_link::record(const std::string& vm, const v1::ClaimRequest& request,
                        const peer_call_options& options,
                        std::function<void(result<v1::ClaimReply>)> on_done) const
{
    send<v1::ClaimReply>(vm, "Record", request, options, std::move(on_done));
}

void claim_link::close(const std::string& vm, const v1::ClaimPairRequest& request,
                       const peer_call_options& options,
                       std::function<void(result<v1::ClaimPairReply>)> on_done) const
{
    send<v1::ClaimPairReply>(vm, "Close", request, options, std::move(on_done));
}

void claim_link::transfer(const std::string& vm, const v1::ClaimTransfer& request,
                          const peer_call_options& options,
                          std::function<void(result<v1::ClaimTransferReply>)> on_done) const
{
    send<v1::ClaimTransferReply>(vm, "Transfer", request, options, std::move(on_done));
}

void claim_link::forward(const std::string& vm, const v1::CallRequest& request,
                         const peer_call_options& options,
                         std::function<void(result<v1::ClaimVerdict>)> on_done) const
{
    send<v1::ClaimVerdict>(vm, "Forward", request, options, std::move(on_done));
}

} // namespace vanillagauge::entry
