#include "rollout/rollout_service.hpp"

#include "rollout/core/core.hpp"
#include "rollout/ownership.hpp"
#include "wire/controller.hpp"

namespace vanillagauge::rollout {
result<std::shared_ptr<job_runner>> rollout_service::find_runner(const std::string& job)
{
    const auto view = context_.keeper.current();
    const auto item = view->config.find("job", job);
    if (!item) {
        return error{error_code::not_found, run_state::not_run, "no job \"" + job + "\""};
    }
    const auto found = owner_of(*view, job_key(job));
    if (!found) {
        return error{error_code::unavailable, run_state::not_run, "no rollout process is alive",
                     milliseconds{500}};
    }
    if (found->vm != context_.settings.vm) {
        return error{error_code::wrong_node, run_state::not_run, "the job belongs to " + found->vm,
                     milliseconds{0}, found->http_address};
    }
    const std::lock_guard lock(mutex_);
    auto& slot = runners_[job];
    if (!slot && !stopped_) {
        const auto spec = config::parse_job(job, item->spec_json);
        if (!ok(spec)) {
            return failure(spec);
        }
        slot = std::make_shared<job_runner>(context_, value(spec));
    }
    if (!slot) {
        return error{error_code::draining, run_state::not_run, "the node is stopping", milliseconds{500}};
    }
    return slot;
}

void rollout_service::Pull(google::protobuf::RpcController* control, const v1::PullRequest* request,
                           v1::PullReply* reply, google::protobuf::Closure* done)
{
    const auto found = find_runner(request->job());
    if (!ok(found)) {
        wire::controller_of(control).fail(failure(found));
        done->Run();
        return;
    }
    const auto& job = value(found);
    weights_->announce(job->spec().deployment, request->trainer_version(), strategy_of(job->spec()));
    job->pull(*request, [control, reply, done](result<v1::PullReply> outcome) {
        if (ok(outcome)) {
            *reply = value(std::move(outcome));
        }
        else {
            wire::controller_of(control).fail(failure(outcome));
        }
        done->Run();
    });
}

void rollout_service::JobStatus(google::protobuf::RpcController* control, const v1::JobStatusRequest* request,
                                v1::JobStatusReply* reply, google::protobuf::Closure* done)
{
    const auto found = find_runner(request->job());
    if (ok(found)) {
        *reply = value(found)->status();
    }
    else {
        wire::controller_of(control).fail(failure(found));
    }
    done->Run();
}

void rollout_service::Announce(google::protobuf::RpcController* control, const v1::AnnounceRequest* request,
                               v1::AnnounceReply* /*reply*/, google::protobuf::Closure* done)
{
    const int weight = request->weight();
    if (weight < 0 || weight > static_cast<int>(policy::wave_strategy::drain_all)) {
        wire::controller_of(control).fail({error_code::invalid_argument, run_state::not_run,
                                           "expected a weight of 0 to 2, found " + std::to_string(weight)});
    }
    else {
        weights_->announce(request->deployment(), request->version(),
                           static_cast<policy::wave_strategy>(weight));
    }
    done->Run();
}

void rollout_service::tick()
{
    const auto view = context_.keeper.current();
    std::vector<std::shared_ptr<job_runner>> ended;
    std::vector<std::shared_ptr<job_runner>> running;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = runners_.begin(); it != runners_.end();) {
            const auto found = owner_of(*view, job_key(it->first));
            const bool owned =
                view->config.find("job", it->first) && found && found->vm == context_.settings.vm;
            if (owned) {
                running.push_back(it->second);
                ++it;
                continue;
            }
            ended.push_back(it->second);
            it = runners_.erase(it);
        }
    }
    for (const auto& job : ended) {
        job->stop();
    }
    for (const auto& job : running) {
        job->tick();
    }
    weights_->tick();
}

void rollout_service::stop()
{
    std::map<std::string, std::shared_ptr<job_runner>> runners;
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        runners.swap(runners_);
    }
    for (const auto& [name, job] : runners) {
        job->stop();
    }
}

} // namespace vanillagauge::rollout
