#include "plain_service.hpp"

#include <algorithm>

namespace vanillagauge::standins {

namespace pb = target::v1;

milliseconds plain_service::reserve_worker(milliseconds extra)
{
    const std::lock_guard lock(mutex_);
    worker_free_at_.resize(static_cast<std::size_t>(options_.workers));
    auto& soonest = *std::min_element(worker_free_at_.begin(), worker_free_at_.end());
    const auto now = steady::now();
    soonest = std::max(soonest, now) + options_.service_time + extra;
    return std::chrono::ceil<milliseconds>(soonest - now);
}

void plain_service::Call(google::protobuf::RpcController* control, const pb::CallRequest* request,
                         pb::CallReply* reply, google::protobuf::Closure* done)
{
    faults_.crash_if_requested(request->body());
    const auto fault = faults_.current();
    if (fault.silent()) {
        return;
    }
    if (fault.refuse()) {
        wire::controller_of(control).fail(
            {error_code::unavailable, run_state::not_run, "the service takes nothing"});
        done->Run();
        return;
    }
    const auto delay = reserve_worker(milliseconds{fault.delay_ms()});
    loop_.after(delay, [this, request = *request, reply, control, done, fault] {
        faults_.count_run(request.request_id());
        reply->set_request_id(request.request_id());
        reply->set_body("{\"answer\":\"" + request.method() + "\"}");
        reply->set_digest(digest(reply->body()));
        if (fault.drop_reply()) {
            wire::controller_of(control).fail(
                {error_code::internal, run_state::in_doubt, "the reply was lost"});
        }
        done->Run();
    });
}

void plain_service::Load(google::protobuf::RpcController* /*control*/, const pb::LoadRequest* /*request*/,
                         pb::LoadReply* reply, google::protobuf::Closure* done)
{
    {
        const std::lock_guard lock(mutex_);
        const auto now = steady::now();
        const auto busy = std::count_if(worker_free_at_.begin(), worker_free_at_.end(),
                                        [now](time_point free) { return free > now; });
        reply->set_running(static_cast<int>(busy));
        reply->set_capacity(options_.workers);
    }
    done->Run();
}

void plain_service::Score(google::protobuf::RpcController* control, const pb::ScoreRequest* request,
                          pb::ScoreReply* reply, google::protobuf::Closure* done)
{
    const auto fault = faults_.current();
    if (fault.silent()) {
        return;
    }
    if (fault.refuse()) {
        wire::controller_of(control).fail(
            {error_code::unavailable, run_state::not_run, "the scorer takes nothing"});
        done->Run();
        return;
    }
    const auto delay = reserve_worker(milliseconds{fault.delay_ms()});
    loop_.after(delay, [this, request = *request, reply, done] {
        faults_.count_run(request.sample_id());
        reply->set_sample_id(request.sample_id());
        reply->set_score(static_cast<double>(hash64(request.text()) % 1000) / 1000.0);
        done->Run();
    });
}

} // namespace vanillagauge::standins
