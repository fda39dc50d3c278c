#include "entry/claim_target.hpp"

#include "entry/claim_run_guard.hpp"
#include "entry/plain_call.hpp"

namespace vanillagauge::entry {
namespace {

void run(const entry_context& context, const v1::CallRequest& request, time_point deadline,
         const observe::trace_context& trace, claim_runner::completion on_done)
{
    const auto group = context.directory.find(request.deployment());
    if (!group) {
        on_done(error{error_code::not_found, run_state::not_run, "the deployment has been removed"});
        return;
    }
    const auto guarded = guarded_channels(context.targets);
    const entry_context once{context.settings,  context.loop,    context.keeper,     *guarded,
                             context.directory, context.metrics, context.incarnation};
    // The completion keeps the channels alive until the call has ended.
    auto finish = [guarded, on_done = std::move(on_done)](result<v1::CallReply> outcome) {
        on_done(std::move(outcome));
    };
    std::make_shared<plain_call>(once, group, request, deadline, trace, std::move(finish))->start();
}

} // namespace

claim_runner run_at_targets(const entry_context& context)
{
    claim_runner runner;
    runner.refusal = [context](const v1::CallRequest& request) {
        return refusal_for(context.directory, request.deployment(), config::target_kind::service);
    };
    runner.run = [context](const v1::CallRequest& request, time_point deadline,
                           const observe::trace_context& trace, claim_runner::completion on_done) {
        run(context, request, deadline, trace, std::move(on_done));
    };
    return runner;
}

} // namespace vanillagauge::entry
