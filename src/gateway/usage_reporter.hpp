/// Reports the usage of each window to the platform, once, while this gateway holds the duty.
#ifndef VANILLAGAUGE_GATEWAY_USAGE_REPORTER_HPP
#define VANILLAGAUGE_GATEWAY_USAGE_REPORTER_HPP

#include "gateway/configuration.hpp"
#include "gateway/duty_lease.hpp"
#include "gateway/duty_platform.hpp"
#include "gateway/object_store.hpp"
#include "gateway/usage_exchange.hpp"
#include "observe/metrics.hpp"

#include <functional>
#include <string>

namespace vanillagauge::gateway {

class usage_reporter {
public:
    /// `current` returns the active configuration. All must outlive it.
    usage_reporter(net::loop& loop, object_store& store, duty_platform& platform, duty_lease& lease,
                   usage_exchange& runs, observe::metrics& counts, std::string holder,
                   usage::report_times times, std::function<const configuration&()> current);

    void start();

private:
    net::loop& loop_;
    object_store& store_;
    duty_platform& platform_;
    duty_lease& lease_;
    usage_exchange& runs_;
    observe::metrics& counts_;
    std::string holder_;
    usage::report_times times_;
    std::function<const configuration&()> current_;
    usage::report_state state_;
    std::uint64_t revision_ = 0; ///< of the stored reports; 0: none are stored
    bool state_read_ = false;
    milliseconds pause_{0}; ///< after the last failure

    net::task<void> run_loop();
    net::task<result<done>> act();
    net::task_of<done> read_state();
    net::task_of<done> close(std::uint64_t window);
    net::task_of<done> send(std::uint64_t window);
};

} // namespace vanillagauge::gateway

#endif
