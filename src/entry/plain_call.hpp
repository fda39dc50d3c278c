/// One call to a plain service: admits, places and validates it; retries and hedges it within its deadline
/// where that is safe.
#ifndef VANILLAGAUGE_ENTRY_PLAIN_CALL_HPP
#define VANILLAGAUGE_ENTRY_PLAIN_CALL_HPP

#include "entry/entry_service.hpp"
#include "observe/trace.hpp"
#include "wire/channel.hpp"

#include "target.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace vanillagauge::entry {

class plain_call : public std::enable_shared_from_this<plain_call> {
public:
    using completion = std::function<void(result<v1::CallReply>)>;

    plain_call(const entry_context& context, std::shared_ptr<node::target_group> group,
               v1::CallRequest request, time_point deadline, const observe::trace_context& trace,
               completion on_done);

    void start();

private:
    struct attempt {
        std::string target;
        time_point started_at;
        wire::call_cancel cancel{};
    };

    entry_context context_;
    std::shared_ptr<node::target_group> group_;
    v1::CallRequest request_;
    time_point deadline_;
    std::uint64_t fingerprint_;
    observe::span span_;
    completion on_done_;

    std::mutex mutex_; ///< guards the members below; never held while calling other objects
    policy::work work_;
    std::map<int, attempt> running_;
    int attempts_ = 0;
    bool finished_ = false;
    run_state ran_ = run_state::not_run;

    void launch(const node::target_group::endpoint& endpoint);
    void arm_hedge(int number);
    void hedge(int number);
    bool retry();
    void on_answer(int number, const result<target::v1::CallReply>& answer);
    void on_failure(const error& failure, bool others_running);
    bool may_retry(const error& failure);
    void finish(result<v1::CallReply> outcome);
    void cancel_others();
};

} // namespace vanillagauge::entry

#endif
