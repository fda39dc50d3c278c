#include "report.hpp"

#include <algorithm>
#include <iomanip>

namespace vanillagauge::load {
namespace {

double quantile_ms(std::vector<duration> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return std::chrono::duration<double, std::milli>(values[static_cast<std::size_t>(rank)]).count();
}

std::vector<std::string> groups_of(const planned_request& request)
{
    const std::string kind = request.generates ? "generate" : "call." + request.priority;
    return {"all", kind, request.caller == "hot" ? "hot" : "quiet"};
}

} // namespace

void report::add(const planned_request& request, const answer& got)
{
    const std::lock_guard lock(mutex_);
    for (const auto& name : groups_of(request)) {
        auto& into = groups_[name];
        ++into.requests;
        if (got.code != "ok") {
            ++into.refused[got.code + "." + std::string(vanillagauge::name(got.ran))];
            into.refusal_times.push_back(got.latency);
            continue;
        }
        ++(got.latency <= request.deadline ? into.in_time : into.late);
        into.answer_times.push_back(got.latency);
    }
    if (!got.target.empty()) {
        ++by_target_[got.target][std::chrono::duration_cast<seconds>(request.start).count()];
    }
}

nlohmann::json report::as_json(milliseconds length) const
{
    const std::lock_guard lock(mutex_);
    const double run_seconds = std::chrono::duration<double>(length).count();
    nlohmann::json all;
    for (const auto& [name, from] : groups_) {
        auto& into = all["groups"][name];
        into["asked"] = from.requests;
        into["in_time"] = from.in_time;
        into["late"] = from.late;
        into["goodput_per_s"] = static_cast<double>(from.in_time) / run_seconds;
        into["not_answered"] = from.refused;
        into["p50_ms"] = quantile_ms(from.answer_times, 0.5);
        into["p99_ms"] = quantile_ms(from.answer_times, 0.99);
        into["p999_ms"] = quantile_ms(from.answer_times, 0.999);
        into["refusal_p50_ms"] = quantile_ms(from.refusal_times, 0.5);
        into["refusal_p99_ms"] = quantile_ms(from.refusal_times, 0.99);
    }
    for (const auto& [target, answers] : by_target_) {
        for (const auto& [second, count] : answers) {
            all["answers_by_second"][target][std::to_string(second)] = count;
        }
    }
    return all;
}

void report::print_table(std::ostream& out, milliseconds length) const
{
    const auto all = as_json(length);
    out << std::left << std::setw(14) << "group" << std::right;
    for (const char* column :
         {"asked", "in_time", "late", "goodput_per_s", "p50_ms", "p99_ms", "p999_ms", "refusal_p99_ms"}) {
        out << std::setw(15) << column;
    }
    out << "\n" << std::fixed << std::setprecision(1);
    const auto groups = all.value("groups", nlohmann::json::object());
    for (const auto& [name, seen] : groups.items()) {
        out << std::left << std::setw(14) << name << std::right;
        for (const char* column : {"asked", "in_time", "late"}) {
            out << std::setw(15) << seen.at(column).get<std::int64_t>();
        }
        for (const char* column : {"goodput_per_s", "p50_ms", "p99_ms", "p999_ms", "refusal_p99_ms"}) {
            out << std::setw(15) << seen.at(column).get<double>();
        }
        out << "  " << seen.at("not_answered").dump() << "\n";
    }
}

} // namespace vanillagauge::load
