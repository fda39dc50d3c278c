/// Requests that crash the targets that run them, by fingerprint; records can be shared between nodes.
#ifndef VANILLAGAUGE_POLICY_QUARANTINE_HPP
#define VANILLAGAUGE_POLICY_QUARANTINE_HPP

#include "base/base.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace vanillagauge::policy {

/// Of what makes two requests the same to a target: deployment, method and body or prompt.
std::uint64_t request_fingerprint(std::string_view deployment, std::string_view method,
                                  std::string_view body);

/// What nodes tell each other of one request.
struct crash_record {
    std::uint64_t fingerprint = 0;
    std::set<std::uint64_t> targets; ///< hashes of the ids of targets lost while they ran it
    milliseconds left{0};            ///< how long the record still counts
};

class quarantine {
public:
    /// The connection to `target` broke after the request had been sent at `began`.
    void on_crash(std::uint64_t fingerprint, std::string_view target, time_point began, time_point now);
    /// The request was answered: it does not crash targets.
    void on_answer(std::uint64_t fingerprint);
    /// Takes over what another node knows; true where that was new here.
    bool merge(const std::vector<crash_record>& records, time_point now);

    /// An error with `quarantined` and `not_run`, or done.
    result<done> check(std::uint64_t fingerprint, time_point now) const;
    /// The records for other nodes, suspects too: a caller may send its request to another node each time.
    std::vector<crash_record> shared(time_point now) const;
    std::size_t size() const { return records_.size(); }

private:
    struct record {
        std::set<std::uint64_t> targets;
        time_point expires;
    };
    std::map<std::uint64_t, record> records_;
    std::map<std::uint64_t, time_point> lost_; ///< by target: when its loss was noticed

    bool lost_before(std::uint64_t target, time_point began, time_point now);
    void make_room(time_point now);
};

} // namespace vanillagauge::policy

#endif
