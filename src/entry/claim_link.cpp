#include "entry/claim_link.hpp"

#include "wire/call.hpp"

namespace vanillagauge::entry {
namespace {

/// Empty where the VM has no living entry process. A draining one still serves its pairs.
std::string entry_peer_of(const node::view& view, const std::string& vm)
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
                      const hop& from, std::function<void(result<Response>)> on_done) const
{
    const auto address = entry_peer_of(*keeper_.current(), vm);
    if (address.empty() || from.timeout.count() <= 0) {
        on_done(error{error_code::unavailable, run_state::not_run, "no entry process is known on " + vm});
        return;
    }
    wire::call_options options;
    options.timeout = from.timeout;
    options.trace = from.trace;
    options.token = token_;
    wire::call<Response>(*peers_.at(address), wire::method<v1::ClaimPeer>(method), request, options,
                         std::move(on_done));
}

void claim_link::record(const std::string& vm, const v1::ClaimRequest& request, const hop& from,
                        std::function<void(result<v1::ClaimReply>)> on_done) const
{
    send<v1::ClaimReply>(vm, "Record", request, from, std::move(on_done));
}

void claim_link::close(const std::string& vm, const v1::ClaimPairRequest& request, const hop& from,
                       std::function<void(result<v1::ClaimPairReply>)> on_done) const
{
    send<v1::ClaimPairReply>(vm, "Close", request, from, std::move(on_done));
}

void claim_link::transfer(const std::string& vm, const v1::ClaimTransfer& request, const hop& from,
                          std::function<void(result<v1::ClaimTransferReply>)> on_done) const
{
    send<v1::ClaimTransferReply>(vm, "Transfer", request, from, std::move(on_done));
}

void claim_link::forward(const std::string& vm, const v1::CallRequest& request, const hop& from,
                         std::function<void(result<v1::ClaimVerdict>)> on_done) const
{
    send<v1::ClaimVerdict>(vm, "Forward", request, from, std::move(on_done));
}

} // namespace vanillagauge::entry
