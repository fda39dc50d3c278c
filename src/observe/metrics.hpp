/// Counters, gauges and latency distributions of one process, on Boost.Accumulators.
#ifndef VANILLAGAUGE_OBSERVE_METRICS_HPP
#define VANILLAGAUGE_OBSERVE_METRICS_HPP

#include "base/clock.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace vanillagauge::observe {

/// Thread-safe: series are distributed over shards, each with its own lock.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void add(std::string_view series, std::int64_t amount = 1);
    void set(std::string_view series, double value);
    void record(std::string_view series, duration took);

    /// The Prometheus text format. A series name may carry labels: `calls_total{code="ok"}`.
    std::string page() const;

private:
    struct shard;
    static constexpr std::size_t shard_count = 16;
    std::array<std::unique_ptr<shard>, shard_count> shards_;
    shard& shard_of(std::string_view series) const;
};

} // namespace vanillagauge::observe

#endif
