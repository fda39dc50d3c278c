#include "usage/report_log.hpp"

namespace vanillagauge::usage {

void report_log::append(std::uint64_t window, counts runs)
{
    if (newest() && window <= *newest()) {
        return;
    }
    reports_[window] = std::move(runs);
    if (reports_.size() > max_reports) {
        acknowledged_.erase(reports_.begin()->first);
        reports_.erase(reports_.begin());
    }
}

void report_log::acknowledge(std::uint64_t window)
{
    if (reports_.contains(window)) {
        acknowledged_.insert(window);
    }
}

std::optional<std::uint64_t> report_log::unsent() const
{
    for (const auto& [window, runs] : reports_) {
        if (!acknowledged_.contains(window)) {
            return window;
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> report_log::newest() const
{
    return reports_.empty() ? std::nullopt : std::optional(reports_.rbegin()->first);
}

} // namespace vanillagauge::usage
