#include "usage/ledger.hpp"

#include <algorithm>

namespace vanillagauge::usage {

void ledger::count(const std::string& source, std::uint64_t window, const std::string& organisation)
{
    ++windows_[window][source][organisation];
}

void ledger::merge(const std::string& source, std::uint64_t window, const counts& known)
{
    auto& held = windows_[window][source];
    for (const auto& [organisation, number] : known) {
        auto& entry = held[organisation];
        entry = std::max(entry, number);
    }
}

counts ledger::total(std::uint64_t window) const
{
    counts sum;
    for (const auto& [source, known] : of_window(window)) {
        for (const auto& [organisation, number] : known) {
            sum[organisation] += number;
        }
    }
    return sum;
}

source_counts ledger::of_window(std::uint64_t window) const
{
    const auto found = windows_.find(window);
    return found == windows_.end() ? source_counts{} : found->second;
}

window_counts ledger::of_source(const std::string& source) const
{
    window_counts known;
    for (const auto& [window, sources] : windows_) {
        const auto found = sources.find(source);
        if (found != sources.end()) {
            known[window] = found->second;
        }
    }
    return known;
}

void ledger::forget_before(std::uint64_t window)
{
    windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

} // namespace vanillagauge::usage
