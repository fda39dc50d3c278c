/// State of one request while the gateway forwards it.
#ifndef VANILLAGAUGE_GATEWAY_INTERNAL_FORWARDED_CALL_HPP
#define VANILLAGAUGE_GATEWAY_INTERNAL_FORWARDED_CALL_HPP

#include "gateway/forwarder.hpp"
#include "observe/trace.hpp"

#include <algorithm>
#include <variant>

namespace vanillagauge::gateway {

struct forwarder::call {
    const route& chosen;
    const caller_request& request;
    net::responder* answer; ///< null for an internal call
    time_point deadline;
    observe::span span;                       ///< of the request in this gateway
    observe::trace_context attempt_context{}; ///< of the attempt in flight
    std::string replica{};                    ///< of the attempt in flight
    bool sent = false;                        ///< by the attempt in flight
    time_point sent_at{};                     ///< of the attempt in flight
    usage::wall_time sent_wall{};             ///< of the attempt in flight
    std::string service{};
    policy::work work{};
    std::uint64_t fingerprint = 0;
    int attempts = 0;
    int internal_errors = 0; ///< replicas that answered 500
    bool client_gone = false;
    bool relayed = false;          ///< by another gateway, which has the client
    bool hub_in_doubt = false;     ///< a hub was asked and may have run the request
    int attempt_limit = 0;         ///< set by the gateway that relayed the request; 0: the route's
    bool response_started = false; ///< the head of a stream was sent to the client
    std::optional<std::uint64_t> last_event{};
    std::shared_ptr<net::http_connection> connection{}; ///< of the attempt in flight

    bool internal() const { return answer == nullptr && !relayed; }
    int max_attempts() const { return attempt_limit > 0 ? attempt_limit : chosen.attempts; }
    bool repeatable() const
    {
        return internal() || chosen.kind == route_kind::idempotent ||
               (chosen.kind == route_kind::stream && chosen.resumable);
    }
};

/// Outcome of an attempt at one replica.
struct forwarder::attempt_outcome {
    std::variant<net::http_response, error> result = error{};
    bool finished_stream = false; ///< the client received the complete stream
    bool not_run = false;
    bool replica_left = false; ///< before anything was sent to it
    bool closed = false;       ///< by the replica, before a response
    bool reused_connection = false;
    std::optional<policy::load_report> load{};
    std::string replica{};

    /// The replica left before anything was sent to it.
    static attempt_outcome left();

    /// Whether the replica may have begun to work on the request.
    bool may_have_run() const
    {
        const auto* failed = std::get_if<error>(&result);
        return !not_run && (failed == nullptr || failed->ran != run_state::not_run);
    }
    /// Withdraws the statement that the request has not run, since an earlier replica may have run it.
    void put_in_doubt()
    {
        if (not_run) {
            not_run = false;
            result = error{error_code::unavailable, run_state::in_doubt,
                           "the replicas are full, and an earlier one may have run the request"};
        }
        else if (auto* failed = std::get_if<error>(&result)) {
            failed->ran = std::max(failed->ran, run_state::in_doubt);
        }
    }

    std::string text() const
    {
        if (finished_stream) {
            return "stream_finished";
        }
        const auto* response = std::get_if<net::http_response>(&result);
        return response != nullptr ? "status " + std::to_string(response->status)
                                   : describe(std::get<error>(result));
    }
    bool internal_error() const
    {
        constexpr int internal_server_error = 500;
        const auto* response = std::get_if<net::http_response>(&result);
        return response != nullptr && !not_run && response->status == internal_server_error;
    }
    bool succeeded() const
    {
        const auto* response = std::get_if<net::http_response>(&result);
        return finished_stream || (response != nullptr && response->status < 500 && !not_run);
    }
};

} // namespace vanillagauge::gateway

#endif
