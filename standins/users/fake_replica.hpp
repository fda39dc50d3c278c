/// A stand-in for one of the users' replicas: plain answers, event streams and weights, with scripted
/// faults.
#ifndef VANILLAGAUGE_STANDINS_USERS_FAKE_REPLICA_HPP
#define VANILLAGAUGE_STANDINS_USERS_FAKE_REPLICA_HPP

#include "net/http_service.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace vanillagauge::standins {

/// Fault injected into the next request that would run.
enum class replica_fault {
    none,
    shed,           ///< answers 503 without running it
    reset,          ///< runs it and resets the connection without an answer
    silent,         ///< runs it and never answers
    fail,           ///< answers 500
    unprocessable,  ///< answers 422
    other_attempt,  ///< answers with another attempt's id
    no_stamp,       ///< answers without its authentication code
    endless_event,  ///< streams one event without end
    endless_lines,  ///< streams comments without end, and no event
    wrong_bytes,    ///< streams an event whose data is not UTF-8
    wrong_stamp,    ///< answers with an authentication code that is not UTF-8
    cut_stream,     ///< closes the connection in the middle of an event
    late_rejection, ///< answers 422 with another attempt's id, as a late copy of that one's answer
    late_shed,      ///< runs it and answers with another attempt's refusal
    nameless_shed,  ///< runs it and first sends a refusal without an id, as a late copy of a probe's
};

struct received_request {
    std::string attempt_id;
    std::string method;
    std::string target;
    std::string body;
    std::string last_event_id;
    std::string deadline_ms;
    std::string traceparent;
    std::string organisation;
    bool has_api_key = false;
    time_point received_at{};
    replica_fault fault = replica_fault::none;
};

class fake_replica {
public:
    fake_replica(net::loop& loop, std::string id, std::uint64_t version = 1);

    result<std::string> open();
    const std::string& address() const { return address_; }
    const std::string& id() const { return id_; }
    /// The replica's registration in the store.
    nlohmann::json entry(const std::string& service, const std::string& model,
                         const std::string& state) const;

    int events = 4;                 ///< per stream
    milliseconds event_interval{5}; ///< between two events
    milliseconds pause{0};          ///< in each run of a stream, after its first event
    milliseconds work_time{0};      ///< before a plain answer
    std::uint64_t version = 1;      ///< of its weights
    int max_streams = 0;            ///< refuses further ones as not executed; 0: no limit
    milliseconds load_time{0};      ///< refuses new streams for this long after an order
    int refused_streams = 0;
    std::vector<replica_fault> script;              ///< faults of the next requests, in order
    std::set<std::string> always_fail;              ///< attempt ids always answered 500
    std::map<std::string, int> resets_left;         ///< by attempt id: how often to reset its connection
    std::vector<received_request> started_requests; ///< all that started to run
    std::vector<nlohmann::json> orders;             ///< in order of arrival
    std::vector<time_point> order_times;            ///< arrival time of each order
    int cancelled = 0;                              ///< runs whose client disconnected before the end
    /// Sends each answer once more, late: before the answer to the next request with the same attempt id on
    /// its connection.
    bool repeats_answers = false;
    /// Sends a connection's last answer to an attempt once more, late: before the answer to an order.
    bool repeats_answers_before_orders = false;

private:
    net::loop& loop_;
    std::string id_;
    std::string address_;
    std::uint64_t accepted_orders_ = 0;
    int running_streams_ = 0;
    time_point loads_until_{};
    net::http_service service_;
    using connection_and_attempt = std::pair<std::uint64_t, std::string>;
    std::map<connection_and_attempt, net::http_response> last_answers_;

    std::map<std::uint64_t, net::http_response> last_answer_on_; ///< by connection

    net::task<void> send_late_copy(const net::http_request& request, net::responder& answer);
    void keep_answer(const net::http_request& request, const net::responder& answer,
                     const net::http_response& sent);
    net::task<void> serve(const net::http_request& request, net::responder& answer);
    net::task<void> run(const net::http_request& request, net::responder& answer, replica_fault fault);
    net::task<void> stream(const net::http_request& request, net::responder& answer, replica_fault fault);
    /// Returns the HTTP status; throws json::exception if a field is missing.
    bool refuses_streams() const;
    int apply_order(const nlohmann::json& order);
    net::task<void> handle_order(const net::http_request& request, net::responder& answer);
    net::http_fields response_fields(const net::http_request& request, replica_fault fault) const;
};

/// Data of the event with this number, as expected in the item's result.
std::string event_text(const std::string& item, std::uint64_t number);

} // namespace vanillagauge::standins

#endif
