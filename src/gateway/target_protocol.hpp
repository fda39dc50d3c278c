/// The port to what callers and replicas speak: how requests, answers and orders look on the wire.
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

/// One sending of a request to one replica.
struct attempt_request {
    std::string attempt_id;
    std::string replica_id; ///< any other replica refuses it
    std::optional<milliseconds> time_left{};
    std::optional<std::uint64_t> resume_after{}; ///< the id of the last event that is already there
};

/// What the head of a replica's answer says beside status and body.
struct response_metadata {
    bool not_run = false;              ///< the replica states that it did not run the request
    bool echoes_attempt = false;       ///< it carries the id that was sent
    std::string authentication_code{}; ///< the replica's; empty: it carries none
    std::optional<policy::load_report> load{};
    std::uint64_t weights_version = 0; ///< 0: not told
};

/// What an engine says of itself, some hundred milliseconds late.
struct engine_report {
    std::uint64_t started_unix_ms = 0;
    bool busy = false;                 ///< an order is being carried out
    std::uint64_t orders_accepted = 0; ///< since its start
    std::map<std::string, std::uint64_t> weights;
};

/// How requests that run are treated when new weights are loaded.
enum class load_mode {
    keep_running, ///< they go on under the new version
    finish_first,
};

struct load_order {
    std::string replica_id;
    std::string model;
    std::uint64_t version = 0;
    load_mode mode = load_mode::keep_running;
    std::string holder;
    std::uint64_t fencing_token = 0;
    std::uint64_t expected_orders = 0; ///< carried out only if the engine has taken this many
};

enum class order_outcome { accepted, already_done, conflict, fenced, other_replica, unknown_version, failed };

class target_protocol {
public:
    target_protocol() = default;
    virtual ~target_protocol() = default;
    target_protocol(const target_protocol&) = delete;
    target_protocol& operator=(const target_protocol&) = delete;

    /// The request as a replica is to get it: the client's, with what concerns this attempt.
    virtual net::http_request replica_request(net::http_request request,
                                              const attempt_request& attempt) const = 0;
    virtual response_metadata parse_metadata(int status, const net::http_fields& fields,
                                             const std::string& attempt_id) const = 0;
    /// The version under which an event and those behind it were made, where the event tells one.
    virtual std::optional<std::uint64_t> weights_version(const net::stream_event& event) const = 0;

    virtual net::http_request report_request(const replica& target) const = 0;
    virtual result<engine_report> parse_report(const net::http_response& response) const = 0;
    virtual net::http_request order_request(const replica& target, const load_order& order) const = 0;
    virtual order_outcome parse_order(const net::http_response& response) const = 0;

    /// The answer to a client whose request failed here.
    virtual net::http_response error_response(const error& failure) const = 0;
};

} // namespace vanillagauge::gateway

#endif
