/// The reports whose content is fixed in the store, newest last.
#ifndef VANILLAGAUGE_USAGE_REPORT_LOG_HPP
#define VANILLAGAUGE_USAGE_REPORT_LOG_HPP

#include "usage/ledger.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace vanillagauge::usage {

/// What is sent for a window. It is stored before it is sent for the first time, so that a successor, or a
/// retry after a lost answer, repeats the same numbers: a second report with others would be a second bill.
class report_log {
public:
    /// Adds the report of a window after the newest one; drops old reports beyond `max_reports`.
    void append(std::uint64_t window, counts runs);

    /// The platform has accepted the report. Stored with the next report, so a successor may send it once
    /// more: an exact repeat is ignored.
    void acknowledge(std::uint64_t window);
    /// The oldest report that is not known to be accepted; none if all are.
    std::optional<std::uint64_t> unsent() const;

    /// None before the first report.
    std::optional<std::uint64_t> newest() const;
    /// By window, oldest first.
    const std::map<std::uint64_t, counts>& reports() const { return reports_; }
    const std::set<std::uint64_t>& acknowledged() const { return acknowledged_; }

    /// Longer than a successor needs to take over, at windows of five seconds.
    static constexpr std::size_t max_reports = 8;

private:
    std::map<std::uint64_t, counts> reports_;
    std::set<std::uint64_t> acknowledged_;
};

} // namespace vanillagauge::usage

#endif
