/// What callers sent and were told, and what replicas ran; whether both agree with the promises.
#ifndef VANILLAGAUGE_TESTS_SOAK_LEDGER_HPP
#define VANILLAGAUGE_TESTS_SOAK_LEDGER_HPP

#include "planned_stops.hpp"

#include "net/http_client.hpp"
#include "standins/users/fake_replica.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::soak {

enum class request_kind { safe, unsafe, stream };

/// One batch as its trainer knows it.
struct batch_record {
    std::set<std::string> items;
    bool accepted = false;
    bool refused = false;   ///< every answer promised that nothing runs
    bool end_asked = false; ///< an end without an answer may have taken effect
    bool ended = false;
    std::uint64_t least_version = 0;
    time_point first_sent{};
    time_point ended_at{};
    std::map<std::size_t, std::string> results; ///< by position, as first read
};

class ledger {
public:
    // Commands.
    void sent(const std::string& id, request_kind kind, const std::string& body);
    void answered(const std::string& id, const net::http_result<net::http_response>& outcome);
    void cut(cut_request request);
    void read(batch_record& batch, const std::string& id, const nlohmann::json& page);
    /// Compares all that replicas ran with all that callers were told.
    /// Until the links were whole again, at `calm_since`, a request may have been held back on its way.
    void settle(const std::vector<standins::received_request>& ran,
                const std::map<std::string, batch_record>& batches, time_point calm_since);
    /// Requests that their gateway's planned stop cut, but for answers that a fault at the replica broke off.
    void check_planned_stops(const signal_log& signals, const std::vector<standins::received_request>& ran);
    void violation(std::string text);

    // Queries.
    const std::vector<std::string>& violations() const { return violations_; }
    nlohmann::json counts() const;

private:
    struct attempt {
        request_kind kind = request_kind::safe;
        std::string body;
        bool refused = false;
    };
    std::map<std::string, attempt> attempts_;
    std::map<int, std::size_t> statuses_; ///< 0: no answer
    std::vector<cut_request> cut_;
    std::size_t results_ = 0;
    std::size_t planned_stops_ = 0;
    std::size_t broken_off_near_stops_ = 0; ///< by replicas, within their answers
    std::vector<std::string> violations_;

    void check_success(const std::string& id, const attempt& known, const net::http_response& response);
    void check_stream(const std::string& id, const net::http_response& response);
    void check_result(const batch_record& batch, const std::string& id, const nlohmann::json& entry);
};

/// 429, 503, 408 and 421 promise that the request did not run and never will.
bool promises_not_run(int status);

} // namespace vanillagauge::soak

#endif
