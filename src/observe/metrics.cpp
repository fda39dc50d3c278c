#include "observe/metrics.hpp"

#include "base/digest.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <nlohmann/json.hpp>

#include <vector>

namespace vanillagauge::observe {
namespace {

namespace acc = boost::accumulators;

using distribution =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                                            acc::tag::extended_p_square_quantile(acc::quadratic)>>;

const std::vector<double>& quantile_grid()
{
    static const std::vector<double> grid{0.5, 0.9, 0.99, 0.999};
    return grid;
}

distribution make_distribution()
{
    return distribution(acc::tag::extended_p_square_quantile::probabilities = quantile_grid());
}

struct series_name {
    std::string base;
    std::string labels; ///< without braces
};

series_name split(const std::string& series)
{
    const auto brace = series.find('{');
    if (brace == std::string::npos) {
        return {series, ""};
    }
    return {series.substr(0, brace), series.substr(brace + 1, series.size() - brace - 2)};
}

/// A Prometheus metric family.
struct family {
    const char* type = "";
    std::string lines;
};
/// By name: the text format requires the lines of a family in one group.
using families = std::map<std::string, family, std::less<>>;

template <class Number>
void append(families& page, const std::string& name, const char* type, const std::string& series,
            Number number)
{
    auto& entry = page[name];
    entry.type = type;
    entry.lines += series + ' ' + std::to_string(number) + '\n';
}

std::string in_braces(const std::string& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void append_distribution(families& page, const std::string& series, const distribution& samples)
{
    const auto [base, labels] = split(series);
    const std::string prefix = labels.empty() ? "" : labels + ",";
    for (const double quantile : quantile_grid()) {
        const double estimate = acc::quantile(samples, acc::quantile_probability = quantile);
        const auto label = nlohmann::json(quantile).dump();
        append(page, base, "summary", base + in_braces(prefix + "quantile=\"" + label + "\""), estimate);
    }
    append(page, base, "summary", base + "_sum" + in_braces(labels), acc::sum(samples));
    append(page, base, "summary", base + "_count" + in_braces(labels), acc::count(samples));
    append(page, base + "_max", "gauge", base + "_max" + in_braces(labels), acc::max(samples));
}

} // namespace

struct metrics::shard {
    mutable std::mutex mutex;
    std::map<std::string, std::int64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, distribution, std::less<>> distributions;
};

metrics::metrics()
{
    for (auto& part : shards_) {
        part = std::make_unique<shard>();
    }
}

metrics::~metrics() = default;

metrics::shard& metrics::shard_of(std::string_view series) const
{
    return *shards_.at(hash64(series) % shard_count);
}

void metrics::add(std::string_view series, std::int64_t amount)
{
    auto& part = shard_of(series);
    const std::lock_guard lock(part.mutex);
    part.counters[std::string(series)] += amount;
}

void metrics::set(std::string_view series, double value)
{
    auto& part = shard_of(series);
    const std::lock_guard lock(part.mutex);
    part.gauges[std::string(series)] = value;
}

void metrics::record(std::string_view series, duration took)
{
    auto& part = shard_of(series);
    const std::lock_guard lock(part.mutex);
    auto found = part.distributions.find(series);
    if (found == part.distributions.end()) {
        found = part.distributions.emplace(std::string(series), make_distribution()).first;
    }
    found->second(std::chrono::duration<double>(took).count());
}

std::string metrics::page() const
{
    families page;
    for (const auto& part : shards_) {
        const std::lock_guard lock(part->mutex);
        for (const auto& [series, count] : part->counters) {
            append(page, split(series).base, "counter", series, count);
        }
        for (const auto& [series, level] : part->gauges) {
            append(page, split(series).base, "gauge", series, level);
        }
        for (const auto& [series, samples] : part->distributions) {
            append_distribution(page, series, samples);
        }
    }
    std::string text;
    for (const auto& [name, lines] : page) {
        text += "# TYPE " + name + " " + lines.type + "\n" + lines.lines;
    }
    return text;
}

} // namespace vanillagauge::observe
