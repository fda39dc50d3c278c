/// Results of a load run as callers saw them, as JSON and as a table.
#ifndef VANILLAGAUGE_TOOLS_LOAD_REPORT_HPP
#define VANILLAGAUGE_TOOLS_LOAD_REPORT_HPP

#include "plan.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <ostream>

namespace vanillagauge::load {

/// Outcome of one request. `latency` counts from the intended start, so that a late sender shows.
struct answer {
    duration latency{};
    std::string target; ///< that answered, if known
    std::string code;   ///< ok, or the error's code
    run_state ran = run_state::ran;
};

/// Thread-safe.
class report {
public:
    void add(const planned_request& request, const answer& got);

    nlohmann::json as_json(milliseconds length) const;
    void print_table(std::ostream& out, milliseconds length) const;

private:
    struct group {
        std::int64_t requests = 0;
        std::int64_t in_time = 0;
        std::int64_t late = 0;
        std::map<std::string, std::int64_t> refused; ///< by code and run state
        std::vector<duration> answer_times;
        std::vector<duration> refusal_times;
    };

    mutable std::mutex mutex_;
    std::map<std::string, group> groups_;
    std::map<std::string, std::map<std::int64_t, std::int64_t>> by_target_; ///< answers by second of start
};

} // namespace vanillagauge::load

#endif
