/// Sends planned requests on schedule and collects the results.
#ifndef VANILLAGAUGE_TOOLS_LOAD_SENDER_HPP
#define VANILLAGAUGE_TOOLS_LOAD_SENDER_HPP

#include "node/channel_pool.hpp"
#include "plan.hpp"
#include "report.hpp"

#include <atomic>

namespace vanillagauge::load {

struct sender_options {
    std::vector<std::string> addresses; ///< of entries, or of targets if `direct`
    std::string token;
    mix traffic;
    bool direct = false; ///< calls targets, bypassing the entries
};

class sender {
public:
    sender(sender_options options, node::channel_pool& channels, report& results)
        : options_(std::move(options)), channels_(channels), results_(results)
    {
    }

    void send(const planned_request& request, time_point run_start);
    int running() const { return running_; }

private:
    sender_options options_;
    node::channel_pool& channels_;
    report& results_;
    std::size_t next_ = 0;
    std::atomic<int> running_{0};

    wire::channel& next_channel();
    void call(const planned_request& request, time_point intended);
    void call_target(const planned_request& request, time_point intended);
    void generate(const planned_request& request, time_point intended);
    void done(const planned_request& request, time_point intended, const std::string& target,
              const error* failed);
};

} // namespace vanillagauge::load

#endif
