/// One idempotent call to a plain service: placed, checked, and tried elsewhere within its deadline.
#ifndef VANILLAGAUGE_ENTRY_PLAIN_CALL_HPP
#define VANILLAGAUGE_ENTRY_PLAIN_CALL_HPP

#include "entry/entry_service.hpp"
#include "observe/trace.hpp"

#include <functional>
#include <memory>

namespace vanillagauge::entry {

class plain_call : public std::enable_shared_from_this<plain_call> {
public:
    using completion = std::function<void(result<v1::CallReply>)>;

    plain_call(const entry_context& context, std::shared_ptr<node::target_group> group,
               v1::CallRequest request, time_point deadline, const observe::trace_context& trace,
               completion on_done);

    void start() { attempt(); }

private:
    entry_context context_;
    std::shared_ptr<node::target_group> group_;
    v1::CallRequest request_;
    time_point deadline_;
    observe::span span_;
    completion on_done_;
    std::set<std::string> tried_;
    int attempts_ = 0;

    void attempt();
    void finish(result<v1::CallReply> outcome);
    bool may_retry(const error& failure) const;
};

} // namespace vanillagauge::entry

#endif
