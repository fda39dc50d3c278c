#include "faults.hpp"

#include <cstdlib>

namespace vanillagauge::standins {

namespace pb = target::v1;

pb::FaultRequest fault_state::current()
{
    const std::lock_guard lock(mutex);
    return active;
}

void fault_state::count_run(const std::string& request_id)
{
    const std::lock_guard lock(mutex);
    counts.set_calls(counts.calls() + 1);
    if (++runs[request_id] > 1) {
        counts.set_runs_doubled(counts.runs_doubled() + 1);
    }
}

void fault_state::crash_if_requested(const std::string& text)
{
    const auto fault = current();
    if (!fault.crash_on().empty() && text.find(fault.crash_on()) != std::string::npos) {
        std::_Exit(EXIT_FAILURE);
    }
}

void target_control::Fault(google::protobuf::RpcController* /*control*/, const pb::FaultRequest* request,
                           pb::FaultReply* /*reply*/, google::protobuf::Closure* done)
{
    {
        const std::lock_guard lock(faults_.mutex);
        faults_.active = *request;
    }
    done->Run();
}

void target_control::Counts(google::protobuf::RpcController* /*control*/, const pb::CountsRequest* request,
                            pb::CountsReply* reply, google::protobuf::Closure* done)
{
    {
        const std::lock_guard lock(faults_.mutex);
        *reply = faults_.counts;
        for (const auto& [id, count] : faults_.runs) {
            if (request->with_keys()) {
                auto* entry = reply->add_runs();
                entry->set_request_id(id);
                entry->set_runs(count);
            }
        }
    }
    done->Run();
}

} // namespace vanillagauge::standins
