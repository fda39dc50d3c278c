/// Runs counted by process, window and organisation, as far as this process knows them.
#ifndef VANILLAGAUGE_USAGE_LEDGER_HPP
#define VANILLAGAUGE_USAGE_LEDGER_HPP

#include <cstdint>
#include <map>
#include <string>

namespace vanillagauge::usage {

using counts = std::map<std::string, std::uint64_t>;   ///< runs by organisation
using window_counts = std::map<std::uint64_t, counts>; ///< by window
using source_counts = std::map<std::string, counts>;   ///< of one window, by counting process

/// Holds a number for each process, window and organisation. Numbers only rise, so that merging a message
/// that is repeated, late or out of order changes nothing and no run counts twice.
class ledger {
public:
    void count(const std::string& source, std::uint64_t window, const std::string& organisation);
    void merge(const std::string& source, std::uint64_t window, const counts& known);

    /// All runs of the window that are known here.
    counts total(std::uint64_t window) const;
    /// What is known of the window, by process.
    source_counts of_window(std::uint64_t window) const;
    /// What is known of the process, by window.
    window_counts of_source(const std::string& source) const;
    void forget_before(std::uint64_t window);

private:
    std::map<std::uint64_t, source_counts> windows_;
};

} // namespace vanillagauge::usage

#endif
