#include "samples/version_spans.hpp"

#include <algorithm>
#include <numeric>

namespace vanillagauge::samples {

void version_spans::add(std::uint64_t version, int tokens)
{
    if (version == 0) {
        unversioned_ = true;
    }
    if (tokens <= 0) {
        return;
    }
    if (!spans_.empty() && spans_.back().version == version) {
        spans_.back().tokens += tokens;
        return;
    }
    spans_.push_back({version, tokens});
}

std::uint64_t version_spans::oldest() const
{
    std::uint64_t found = spans_.empty() ? 0 : spans_.front().version;
    for (const auto& part : spans_) {
        found = std::min(found, part.version);
    }
    return found;
}

int version_spans::tokens() const
{
    return std::accumulate(spans_.begin(), spans_.end(), 0,
                           [](int sum, const version_span& part) { return sum + part.tokens; });
}

bool fresh(std::uint64_t oldest, std::uint64_t trainer_version, int max_staleness)
{
    return oldest + static_cast<std::uint64_t>(max_staleness) >= trainer_version;
}

} // namespace vanillagauge::samples
