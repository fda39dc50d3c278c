#include "plan.hpp"

#include <random>

namespace vanillagauge::load {
namespace {

constexpr double surge_factor = 10;
constexpr milliseconds generate_deadline{30000};

double rate_at(const plan_options& options, duration since_start)
{
    const bool surges = options.shape == load_shape::surge && since_start > options.length / 3 &&
                        since_start < options.length * 2 / 3;
    return surges ? options.rate * surge_factor : options.rate;
}

class drawer {
public:
    explicit drawer(std::uint64_t seed) : random_(seed) {}

    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
    int below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }
    duration gap(double rate)
    {
        const std::chrono::duration<double> drawn(std::exponential_distribution<double>(rate)(random_));
        return std::chrono::duration_cast<duration>(drawn);
    }

private:
    std::mt19937_64 random_;
};

std::string draw_priority(drawer& draw, const mix& traffic)
{
    if (draw.chance(traffic.gate_share)) {
        return "gate";
    }
    return draw.chance(traffic.batch_share) ? "batch" : "member";
}

} // namespace

std::vector<planned_request> make_plan(const plan_options& options)
{
    drawer draw(options.seed);
    std::vector<planned_request> plan;
    duration start{0};
    while (true) {
        start += draw.gap(rate_at(options, start));
        if (start >= options.length) {
            return plan;
        }
        planned_request request;
        request.start = start;
        request.id = "load-" + std::to_string(options.seed) + "-" + std::to_string(plan.size());
        const bool hot = draw.chance(options.hot_share);
        request.caller = hot ? "hot" : "caller-" + std::to_string(draw.below(options.callers));
        request.generates = draw.chance(options.traffic.generate_share);
        request.priority = draw_priority(draw, options.traffic);
        request.deadline = request.generates ? generate_deadline : options.traffic.call_deadline;
        plan.push_back(std::move(request));
    }
}

result<mix> find_mix(const std::string& name)
{
    if (name == "aphrodisia") {
        return mix{"members-app", "reply-lm", 0.1, 0.2, 0.1, milliseconds{1000}};
    }
    if (name == "casco-limpo") {
        return mix{"agenda-app", "laudo-models", 0.05, 0, 0.2, milliseconds{2000}};
    }
    if (name == "calls") {
        return mix{"members-app", "", 0, 0.1, 0.1, milliseconds{1000}};
    }
    return error{error_code::invalid_argument, run_state::not_run,
                 "expected the mix aphrodisia, casco-limpo or calls, found \"" + name + "\""};
}

} // namespace vanillagauge::load
