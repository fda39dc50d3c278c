/// Interface to the wire protocol of callers and replicas: requests, responses and orders.
#ifndef VANILLAGAUGE_GATEWAY_TARGET_PROTOCOL_HPP
#define VANILLAGAUGE_GATEWAY_TARGET_PROTOCOL_HPP

#include "base/base.hpp"
#include "gateway/replica.hpp"
#include "net/event_stream.hpp"
#include "net/http_message.hpp"
#include "policy/load_hint.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillagauge::gateway {

/// One attempt of a request at one replica.
struct attempt_request {
    std::string attempt_id;
    std::string replica_id; ///< the addressee; any other replica refuses the request
    std::optional<milliseconds> time_left{};
    std::string organisation{};                  ///< that the request acts for; empty: none
    std::optional<std::uint64_t> resume_after{}; ///< id of the last event already received
};

/// Whose id a response carries.
enum class attempt_echo { none, own, other };

/// Metadata in the head of a replica's response.
struct response_metadata {
    bool not_run = false; ///< the replica states that it did not run the request
    attempt_echo echo = attempt_echo::none;
    std::string authentication_code{}; ///< of the replica; empty if absent
    std::optional<policy::load_report> load{};
    std::uint64_t weights_version = 0; ///< 0: unknown

    /// Whether it is the response to the attempt. A refusal may carry no id, and is then the attempt's own
    /// only on a connection that has carried no other request.
    bool answers_attempt(bool reused_connection) const
    {
        return echo == attempt_echo::own || (echo == attempt_echo::none && not_run && !reused_connection);
    }
};

/// An engine's status report, some hundred milliseconds old.
struct engine_report {
    std::uint64_t started_unix_ms = 0;
    bool busy = false;                 ///< carrying out an order
    std::uint64_t orders_accepted = 0; ///< since the engine started
    std::map<std::string, std::uint64_t> weights;
};

/// Treatment of running requests while new weights are loaded.
enum class load_mode {
    keep_running, ///< they continue with the new version
    finish_first,
};

/// An order to load a version of weights.
struct load_order {
    std::string replica_id;
    std::string model;
    std::uint64_t version = 0;
    load_mode mode = load_mode::keep_running;
    std::string holder;
    std::uint64_t fencing_token = 0;
    std::uint64_t expected_orders = 0; ///< condition: orders accepted by the engine so far
};

enum class order_outcome {
    accepted,
    already_done,
    conflict,
    fenced,
    other_replica,
    unknown_version,
    failed,
    answer_lost, ///< another response was read in its place
};

class target_protocol {
public:
    target_protocol() = default;
    virtual ~target_protocol() = default;
    target_protocol(const target_protocol&) = delete;
    target_protocol& operator=(const target_protocol&) = delete;

    /// The client's request with the fields of this attempt, as sent to the replica: without the caller's
    /// key, and with no other organisation than the attempt's.
    virtual net::http_request replica_request(net::http_request request,
                                              const attempt_request& attempt) const = 0;
    virtual response_metadata parse_metadata(int status, const net::http_fields& fields,
                                             const std::string& attempt_id) const = 0;
    /// The weights version of this and later events, if the event states one.
    virtual std::optional<std::uint64_t> weights_version(const net::stream_event& event) const = 0;

    virtual net::http_request report_request(const replica& target) const = 0;
    virtual result<engine_report> parse_report(const net::http_response& response) const = 0;
    virtual net::http_request order_request(const replica& target, const load_order& order) const = 0;
    virtual order_outcome parse_order(const net::http_response& response) const = 0;

    /// The response to a client whose request failed in the gateway.
    virtual net::http_response error_response(const error& failure) const = 0;
};

} // namespace vanillagauge::gateway

#endif
