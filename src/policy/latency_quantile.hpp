/// Streaming estimate of a latency quantile in constant memory.
#ifndef VANILLAGAUGE_POLICY_LATENCY_QUANTILE_HPP
#define VANILLAGAUGE_POLICY_LATENCY_QUANTILE_HPP

#include "base/base.hpp"

namespace vanillagauge::policy {

class latency_quantile {
public:
    /// `quantile` between 0 and 1: 0.5 tracks the median.
    explicit latency_quantile(double quantile) : quantile_(quantile) {}

    void add(duration latency);

    /// Zero before the first sample.
    duration value() const { return std::chrono::duration_cast<duration>(value_); }
    bool has_value() const { return value_.count() > 0; }

private:
    double quantile_;
    std::chrono::duration<double, std::nano> value_{0};
};

} // namespace vanillagauge::policy

#endif
