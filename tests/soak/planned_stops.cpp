#include "planned_stops.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace vanillagauge::soak {

namespace {

/// How long a connection may stand after a request before its end without an answer counts as a loss.
constexpr milliseconds loss_slack{200};
/// A gateway that was killed or paused so long before a request may still be catching up.
constexpr seconds disturbed_time{3};

/// The script's clock is the system's, that of callers is steady.
time_point to_steady(milliseconds since_epoch)
{
    const auto now = std::chrono::system_clock::now();
    return steady::now() + std::chrono::duration_cast<duration>(since_epoch - now.time_since_epoch());
}

/// Killed between `from` and `to`, or paused at any time between them.
bool is_disturbed(const std::vector<gateway_signal>& signals, time_point from, time_point to)
{
    bool paused = false;
    for (const auto& signal : signals) {
        if (signal.at > to) {
            break;
        }
        const bool ends_pause = signal.what == "CONT";
        const bool disturbs = signal.what == "KILL" || signal.what == "STOP" || ends_pause;
        if (disturbs && signal.at >= from) {
            return true;
        }
        paused = signal.what == "STOP" || (paused && !ends_pause);
    }
    return paused;
}

} // namespace

signal_log signal_log::read(const std::filesystem::path& file)
{
    signal_log log;
    std::ifstream in(file);
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream words(line);
        milliseconds::rep since_epoch = 0;
        std::string what;
        std::string gateway;
        words >> since_epoch >> what >> gateway;
        log.by_gateway_[gateway].push_back({what, to_steady(milliseconds(since_epoch))});
    }
    for (auto& [gateway, signals] : log.by_gateway_) {
        std::stable_sort(signals.begin(), signals.end(),
                         [](const auto& left, const auto& right) { return left.at < right.at; });
    }
    return log;
}

std::optional<milliseconds> signal_log::time_since_planned_stop(const cut_request& cut) const
{
    const auto known = by_gateway_.find(cut.gateway);
    if (known == by_gateway_.end() ||
        is_disturbed(known->second, cut.sent_at - disturbed_time, cut.ended_at)) {
        return std::nullopt;
    }
    std::optional<time_point> stopping;
    for (const auto& signal : known->second) {
        if (signal.at > cut.ended_at) {
            break;
        }
        if (signal.what == "TERM") {
            stopping = signal.at;
        }
        else if (signal.what == "end" && signal.at < cut.sent_at) {
            stopping.reset();
        }
    }
    if (!stopping) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(cut.ended_at - *stopping);
}

std::size_t signal_log::planned_stops() const
{
    std::size_t count = 0;
    for (const auto& [gateway, signals] : by_gateway_) {
        count += static_cast<std::size_t>(std::count_if(
            signals.begin(), signals.end(), [](const auto& signal) { return signal.what == "TERM"; }));
    }
    return count;
}

bool is_loss(const cut_request& cut, bool ran)
{
    return ran || cut.ended_at - cut.sent_at > loss_slack;
}

} // namespace vanillagauge::soak
