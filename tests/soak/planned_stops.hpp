/// Whether a request that a caller lost was cut by a planned stop of its gateway.
#ifndef VANILLAGAUGE_TESTS_SOAK_PLANNED_STOPS_HPP
#define VANILLAGAUGE_TESTS_SOAK_PLANNED_STOPS_HPP

#include "base/clock.hpp"

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::soak {

/// A request whose connection ended before a whole answer.
struct cut_request {
    std::string id;
    std::string gateway;
    time_point sent_at{}; ///< its last byte
    time_point ended_at{};
    bool answer_begun = false;
    bool replica_failed = false; ///< one that ran it, or the link to it
};

/// What the script did to one gateway, or saw of it.
struct gateway_signal {
    std::string what;
    time_point at{};
};

/// Of one run, in order of time.
class signal_log {
public:
    /// Lines of MILLISECONDS_SINCE_EPOCH WHAT GATEWAY.
    static signal_log read(const std::filesystem::path& file);

    /// From a SIGTERM of the request's gateway, which the request met before the process had ended, to the
    /// request's end; nothing where there was none, or where the gateway was killed or paused near it.
    std::optional<milliseconds> time_since_planned_stop(const cut_request& cut) const;
    std::size_t planned_stops() const;

private:
    std::map<std::string, std::vector<gateway_signal>> by_gateway_;
};

/// Whether the gateway owed an answer: the request ran, or its connection stood open without one.
bool is_loss(const cut_request& cut, bool ran);

} // namespace vanillagauge::soak

#endif
