/// Adaptive limit on the requests in flight at one target, derived from its response latency.
#ifndef VANILLAGAUGE_POLICY_CONCURRENCY_LIMIT_HPP
#define VANILLAGAUGE_POLICY_CONCURRENCY_LIMIT_HPP

#include "base/base.hpp"

#include <array>
#include <cstdint>

namespace vanillagauge::policy {

class concurrency_limit {
public:
    explicit concurrency_limit(int initial) : limit_(initial) {}

    /// Records a response; `in_flight` includes its request. `may_grow` is false while a load report shows a
    /// queue at the target.
    void on_answer(duration latency, int in_flight, bool may_grow, time_point now);
    /// A request timed out or lost its connection.
    void on_failure(time_point now);

    int limit() const;

private:
    static constexpr std::size_t window_samples = 32;

    double limit_;
    std::array<std::uint32_t, window_samples> window_{}; ///< microseconds
    std::size_t sample_count_ = 0;
    int peak_in_flight_ = 0;
    double baseline_ = 0; ///< microseconds; 0: not measured
    bool probing_ = false;
    time_point window_start_;
    time_point next_probe_;
    time_point probe_start_;
    time_point last_decrease_;

    bool belongs_to_probe(duration latency, int in_flight, time_point now);
    double window_median();
    void close_window(bool may_grow, time_point now);
    void adjust(double median, bool may_grow);
};

} // namespace vanillagauge::policy

#endif
