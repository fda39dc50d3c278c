/// Forwards requests to replicas and returns their responses.
#ifndef VANILLAGAUGE_GATEWAY_FORWARDER_HPP
#define VANILLAGAUGE_GATEWAY_FORWARDER_HPP

#include "gateway/admission_queue.hpp"
#include "gateway/configuration.hpp"
#include "gateway/target_protocol.hpp"
#include "gateway/target_registry.hpp"
#include "net/http_service.hpp"
#include "observe/metrics.hpp"
#include "policy/quarantine.hpp"
#include "policy/stop_plan.hpp"
#include "usage/usage.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace vanillagauge::gateway {

/// A caller's request, decoded.
struct caller_request {
    net::http_request http;
    std::string host;
    std::string attempt_id;
    std::optional<organisation> acts_for{};
    std::optional<milliseconds> timeout{};       ///< requested by the caller
    std::optional<std::uint64_t> resume_after{}; ///< id of the last stream event the caller received
    time_point arrived_at{};
};

/// Cancels an internal call that is in flight.
class cancellation_token {
public:
    void on_cancel(std::function<void()> callback) { callback_ = std::move(callback); }
    void cancel()
    {
        cancelled_ = true;
        if (callback_) {
            std::exchange(callback_, nullptr)();
        }
    }
    bool cancelled() const { return cancelled_; }

private:
    std::function<void()> callback_;
    bool cancelled_ = false;
};

/// Outcome of an internal call, which this gateway makes itself.
struct internal_call_outcome {
    result<net::http_response> response;
    int internal_errors = 0; ///< replicas that answered 500
};

/// Outcome of a request that this gateway ran for another one.
struct relayed_answer {
    std::string attempt_id; ///< of the request
    result<net::http_response> response;
    bool not_run = false;             ///< the response states that its replica did not run the request
    int attempts = 0;                 ///< replicas that the request was sent to
    std::string replica{};            ///< of the last attempt; empty if there was none
    std::vector<std::string> tried{}; ///< replicas that failed, by instance id
};

class request_relay;

/// Told of each run of a caller's request that acts for an organisation: the organisation, and when the
/// replica began.
using run_recorder = std::function<void(const std::string&, usage::wall_time)>;

class forwarder {
public:
    /// All must outlive it.
    forwarder(net::loop& loop, const target_registry& targets, const target_protocol& protocol,
              observe::metrics& counts, policy::quarantine& crashes, std::string failure_domain);

    /// Answers the request: the client gets exactly one response, or its connection is closed.
    net::task<void> forward(route chosen, caller_request request, net::responder& answer);
    /// Makes a call on behalf of this gateway's own work. It may run more than once. Internal calls have a
    /// separate, small share of each replica's capacity, given to urgent calls first.
    net::task<internal_call_outcome> make_internal_call(route chosen, caller_request request,
                                                        policy::priority urgency,
                                                        std::shared_ptr<cancellation_token> ticket);
    /// Runs a plain request that another gateway relayed, with at most `attempts` replicas; never relays it
    /// again.
    net::task<relayed_answer> run_for_peer(route chosen, caller_request request, int attempts,
                                           std::shared_ptr<cancellation_token> ticket);
    /// Without a relay, every request is sent by this gateway. It must outlive the requests.
    void set_relay(request_relay* relay) { relay_ = relay; }
    /// Whether `set_stop_plan` was called.
    bool stopping() const { return stop_ != nullptr; }
    /// From now on refuses callers' requests that the plan does not accept.
    void set_stop_plan(std::shared_ptr<const policy::stop_plan> plan) { stop_ = std::move(plan); }
    void set_run_recorder(run_recorder recorder) { record_run_ = std::move(recorder); }
    /// Call after a change of the replicas or the configuration.
    void refresh(time_point now);

private:
    struct call;
    struct attempt_outcome;
    net::loop& loop_;
    const target_registry& targets_;
    const target_protocol& protocol_;
    observe::metrics& counts_;
    policy::quarantine& crashes_;
    request_relay* relay_ = nullptr;
    std::string failure_domain_;
    std::shared_ptr<const policy::stop_plan> stop_; ///< null until the process is told to stop
    std::map<std::string, std::unique_ptr<admission_queue>> queues_; ///< for callers' requests, by service
    std::map<std::string, std::unique_ptr<admission_queue>>
        internal_queues_; ///< for internal calls, by service
    run_recorder record_run_ = [](const std::string&, usage::wall_time) {};
    std::mt19937_64 random_{std::random_device{}()};
    std::uint64_t next_work_ = 1;
    /// A service that has had no replica yet counts as lost since then.
    time_point started_at_ = steady::now();

    admission_queue* queue_of(const call& current);
    call begin(const route& chosen, const caller_request& request);
    void cancel(call& current);
    bool accepts(const call& current) const;
    /// The refusal of a request that the replicas have refused.
    error replicas_full(const call& current);
    /// The replica to send the request to, once there is room; `quarantined` if it is known to crash
    /// replicas.
    net::task_of<std::string> admit(call& current, admission_queue& queue);
    net::task<attempt_outcome> run(call& current);
    /// None if this gateway is to send the request itself.
    net::task<std::optional<attempt_outcome>> run_at_hub(call& current);
    bool may_relay(const call& current) const;
    static net::room_taker room_for(const call& current);
    net::task<attempt_outcome> attempt(call& current, target_ref at, time_point until);
    net::task<attempt_outcome> stream(call& current, target_ref at, time_point until);
    net::task<attempt_outcome> open_answer(call& current, target_ref at, time_point until,
                                           std::shared_ptr<net::http_connection>& connection,
                                           net::response_head& head);
    net::task<attempt_outcome> forward_events(call& current, net::http_connection& connection,
                                              net::response_head head);
    /// Until when the replica of a stream may send nothing.
    time_point silence_deadline(const call& current);
    /// Whether the request may reach replicas: an error if it is known to crash them.
    result<done> check_crashes(const call& current) const;
    /// Records that the replica closed the connection before responding.
    void record_crash(const call& current, bool reused);
    bool may_retry(const call& current, const attempt_outcome& outcome, time_point now) const;
    time_point attempt_deadline(const call& current, const admission_queue& queue, time_point now) const;
    void count_run(const call& current, const attempt_outcome& outcome) const;
    void report(admission_queue& queue, const target_ref& at, const attempt_outcome& outcome, duration took);
    net::task<void> send_outcome(call& current, attempt_outcome outcome);
    void log_outcome(call& current, const attempt_outcome& outcome) const;
};

} // namespace vanillagauge::gateway

#endif
