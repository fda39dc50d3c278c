#include "gateway/usage_reporter.hpp"

#include "gateway/internal/usage_messages.hpp"
#include "observe/log.hpp"

#include <algorithm>
#include <numeric>

namespace vanillagauge::gateway {
namespace {

constexpr const char* reports_kind = "usage-reports";
constexpr const char* reports_name = "fixed";

constexpr milliseconds poll_interval{250};
/// Bounds of the exponential backoff after a failure.
constexpr milliseconds min_pause{500};
constexpr milliseconds max_pause{2000};

error no_duty()
{
    return {error_code::conflict, run_state::not_run, "this gateway does not hold the duty"};
}

} // namespace

usage_reporter::usage_reporter(net::loop& loop, object_store& store, duty_platform& platform,
                               duty_lease& lease, usage_exchange& runs, observe::metrics& counts,
                               std::string holder, usage::report_times times,
                               std::function<const configuration&()> current)
    : loop_(loop), store_(store), platform_(platform), lease_(lease), runs_(runs), counts_(counts),
      holder_(std::move(holder)), times_(times), current_(std::move(current))
{
}

void usage_reporter::start()
{
    if (times_.window.count() > 0) {
        state_.first_window = usage::window_at(std::chrono::system_clock::now(), times_.window);
        net::start(loop_, run_loop());
    }
}

net::task<void> usage_reporter::run_loop()
{
    while (true) {
        const auto outcome = co_await act();
        pause_ = ok(outcome) ? milliseconds{0} : std::clamp(pause_ * 2, min_pause, max_pause);
        co_await net::sleep_for(loop_, std::max(pause_, poll_interval));
    }
}

// While another gateway holds the duty, it changes the stored reports: they are read again afterwards.
net::task<result<done>> usage_reporter::act()
{
    if (!lease_.fencing_token() || !current_().organisations) {
        state_read_ = false;
        co_return done{};
    }
    if (!state_read_) {
        const auto read = co_await read_state();
        if (!ok(read)) {
            co_return failure(read);
        }
    }
    const auto action = usage::next_report_action(state_, times_, std::chrono::system_clock::now());
    if (const auto* chosen = std::get_if<usage::close_window>(&action)) {
        co_return co_await close(chosen->window);
    }
    if (const auto* chosen = std::get_if<usage::send_report>(&action)) {
        co_return co_await send(chosen->window);
    }
    co_return done{};
}

net::task_of<done> usage_reporter::read_state()
{
    const auto stored = co_await store_.read(reports_kind, reports_name);
    if (!ok(stored) && failure(stored).code != error_code::not_found) {
        co_return failure(stored);
    }
    state_.log = {};
    revision_ = 0;
    if (ok(stored)) {
        auto log = internal::report_log_from_json(value(stored).value);
        if (!ok(log)) {
            observe::log(observe::log_level::error, "usage_reports_unreadable",
                         {{"why", describe(failure(log))}});
            co_return failure(log);
        }
        state_.log = std::move(value(log));
        revision_ = value(stored).revision;
    }
    state_read_ = true;
    co_return done{};
}

// The write is conditional: where another holder, or an earlier write of this one without an answer, has
// fixed the window, its numbers stand and are read.
net::task_of<done> usage_reporter::close(std::uint64_t window)
{
    auto runs = co_await runs_.gather(window);
    if (!lease_.fencing_token()) {
        co_return no_duty();
    }
    auto log = state_.log;
    log.append(window, std::move(runs));
    auto text = internal::to_json(log);
    result<stored_object> written = error{};
    if (revision_ == 0) {
        written = co_await store_.create(reports_kind, reports_name, std::move(text));
    }
    else {
        written = co_await store_.replace(reports_kind, reports_name, std::move(text), revision_);
    }
    if (!ok(written)) {
        state_read_ = false;
        observe::log(observe::log_level::warning, "usage_not_fixed",
                     {{"window", static_cast<std::int64_t>(window)}, {"why", describe(failure(written))}});
        co_return failure(written);
    }
    state_.log = std::move(log);
    revision_ = value(written).revision;
    co_return co_await send(window);
}

net::task_of<done> usage_reporter::send(std::uint64_t window)
{
    const auto token = lease_.fencing_token();
    if (!token) {
        co_return no_duty();
    }
    const auto runs = state_.log.reports().at(window);
    const auto all = std::accumulate(runs.begin(), runs.end(), std::uint64_t{0},
                                     [](std::uint64_t sum, const auto& entry) { return sum + entry.second; });
    const duty_caller caller{holder_, *token};
    const auto accepted = co_await platform_.report_usage(caller, window, runs);
    const auto late = std::chrono::system_clock::now() - usage::end_of_window(window, times_.window);
    const bool final = ok(accepted) || failure(accepted).code != error_code::unavailable;
    if (final) {
        state_.log.acknowledge(window);
    }
    counts_.add(ok(accepted) ? "usage_reports_total{outcome=\"accepted\"}"
                             : "usage_reports_total{outcome=\"failed\"}");
    observe::log(ok(accepted) ? observe::log_level::info : observe::log_level::warning, "usage_reported",
                 {{"window", static_cast<std::int64_t>(window)},
                  {"organisations", static_cast<std::int64_t>(runs.size())},
                  {"runs", static_cast<std::int64_t>(all)},
                  {"fencing_token", static_cast<std::int64_t>(*token)},
                  {"after_end_ms", std::chrono::duration_cast<milliseconds>(late).count()},
                  {"outcome", ok(accepted) ? std::string("accepted") : describe(failure(accepted))}});
    if (!final) {
        co_return failure(accepted);
    }
    co_return done{};
}

} // namespace vanillagauge::gateway
