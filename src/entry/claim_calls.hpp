/// Runs non-idempotent calls at most once, through the claim pairs of this process and its peers.
#ifndef VANILLAGAUGE_ENTRY_CLAIM_CALLS_HPP
#define VANILLAGAUGE_ENTRY_CLAIM_CALLS_HPP

#include "entry/claim_link.hpp"
#include "entry/claim_store.hpp"
#include "observe/metrics.hpp"
#include "observe/trace.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace vanillagauge::entry {

/// Runs claimed calls at targets.
struct claim_runner {
    using completion = std::function<void(result<v1::CallReply>)>;
    /// The error for a request that no target can serve; empty if one can.
    std::function<std::optional<error>(const v1::CallRequest&)> refusal;
    /// Runs the call at most once.
    std::function<void(const v1::CallRequest&, time_point deadline, const observe::trace_context&,
                       completion)>
        run;
};

/// Shared by the claimed calls of a process; the referenced objects must outlive them.
struct claim_context {
    std::string vm;
    wire::event_loop& loop;
    node::keeper_link& keeper;
    node::channel_pool& peers;
    std::string peer_token;
    observe::metrics& metrics;
    std::uint64_t incarnation = 0;
};

class claim_calls {
public:
    using completion = claim_runner::completion;

    claim_calls(claim_context context, claim_runner runner);

    /// Handles a call from a caller or forwarded by another entry process. `on_done` runs once, by the
    /// deadline.
    void call(const v1::CallRequest& request, time_point deadline, const observe::trace_context& trace,
              completion on_done);
    v1::ClaimReply record(const v1::ClaimRequest& request);
    v1::ClaimPairReply close(const v1::ClaimPairRequest& request);
    v1::ClaimTransferReply transfer(const v1::ClaimTransfer& request);
    /// For a planned stop: accepts no new keys, waits for calls in flight, then sends the settled records to
    /// the backups. Blocks.
    void hand_over();
    /// Frees expired keys periodically.
    void start_expiry();

private:
    /// A request that waits at the primary for the outcome of its key.
    struct waiting_call {
        v1::CallRequest request;
        time_point deadline;
        observe::trace_context trace;
        completion on_done;
        wire::timer_cancel timer{};
    };
    struct pending_call {
        v1::CallRequest request;
        claims::call_key key;
        std::uint64_t fingerprint = 0;
        time_point deadline;
        observe::trace_context trace;
        completion on_done;
    };
    using pending_call_ptr = std::shared_ptr<pending_call>;

    claim_context context_;
    claim_runner runner_;
    claim_link link_;
    claim_store store_;
    std::atomic<claims::waiter_id> next_waiter_{0};
    mutable std::mutex incarnations_mutex_;
    std::set<std::uint64_t> incarnations_;
    std::mutex waiting_mutex_;
    std::map<claims::waiter_id, waiting_call> waiting_;

    claims::pair_role role_of(const claims::claim_pair& pair) const;
    void call_as_primary(const pending_call_ptr& call);
    void call_as_backup(const pending_call_ptr& call);
    void take_over(const pending_call_ptr& call);
    void request_close(const pending_call_ptr& call);
    void forward_to_primary(const pending_call_ptr& call, milliseconds timeout,
                            std::function<void()> fallback);
    void forward_to_backup(const pending_call_ptr& call);

    void arm_deadline(claims::waiter_id who, const claims::call_key& key, time_point deadline);
    void remove_waiter(const claims::call_key& key, claims::waiter_id who);
    void perform(const claims::primary_actions& actions, const observe::trace_context& trace = {});
    void send_record(const claims::send_record& action, const observe::trace_context& trace, int attempt);
    void on_recorded(const claims::send_record& action, const observe::trace_context& trace, int attempt,
                     const result<v1::ClaimReply>& reply);
    void dispatch(const claims::dispatch_call& action);
    void send_settled(const claims::settled_record& record);
    void reply(const claims::send_reply& action);
    void renew_incarnation();
};

/// Milliseconds since the epoch, for key expiry.
std::int64_t wall_milliseconds();

} // namespace vanillagauge::entry

#endif
