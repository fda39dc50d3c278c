#include "rollout/rollout_service.hpp"

#include "fleet/rendezvous.hpp"
#include "wire/controller.hpp"

namespace vanillagauge::rollout {
namespace {

struct owner {
    std::string vm;
    std::string http_address;
};

/// The VM that owns the job in this view; none where no rollout process is alive.
std::optional<owner> owner_of(const node::view& view, const std::string& job)
{
    std::map<std::string, std::string> addresses;
    std::vector<std::string> able;
    for (const auto& member : view.nodes) {
        if (member.state != fleet::member_state::alive || member.info.draining) {
            continue;
        }
        for (const auto& process : member.info.processes) {
            if (process.role == "rollout" && !process.draining) {
                able.push_back(member.info.vm);
                addresses[member.info.vm] = process.http_address;
            }
        }
    }
    const auto ranked = fleet::ranked_owners("job/" + job, able);
    if (ranked.empty()) {
        return std::nullopt;
    }
    return owner{ranked.front(), addresses[ranked.front()]};
}

} // namespace

result<std::shared_ptr<job_runner>> rollout_service::runner(const std::string& job)
{
    const auto view = context_.keeper.current();
    const auto item = view->config.find("job", job);
    if (!item) {
        return error{error_code::not_found, run_state::not_run, "no job \"" + job + "\""};
    }
    const auto found = owner_of(*view, job);
    if (!found) {
        return error{error_code::unavailable, run_state::not_run, "no rollout process is known to be alive",
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
        return error{error_code::draining, run_state::not_run, "the node stops", milliseconds{500}};
    }
    return slot;
}

void rollout_service::Pull(google::protobuf::RpcController* control, const v1::PullRequest* request,
                           v1::PullReply* reply, google::protobuf::Closure* done)
{
    const auto found = runner(request->job());
    if (!ok(found)) {
        wire::from(control).fail(failure(found));
        done->Run();
        return;
    }
    const auto& job = value(found);
    weights_->announce(job->spec().deployment, request->trainer_version());
    job->pull(*request, [control, reply, done](result<v1::PullReply> outcome) {
        if (ok(outcome)) {
            *reply = value(std::move(outcome));
        }
        else {
            wire::from(control).fail(failure(outcome));
        }
        done->Run();
    });
}

void rollout_service::JobStatus(google::protobuf::RpcController* control, const v1::JobStatusRequest* request,
                                v1::JobStatusReply* reply, google::protobuf::Closure* done)
{
    const auto found = runner(request->job());
    if (ok(found)) {
        *reply = value(found)->status();
    }
    else {
        wire::from(control).fail(failure(found));
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
            const auto found = owner_of(*view, it->first);
            const bool ours =
                view->config.find("job", it->first) && found && found->vm == context_.settings.vm;
            if (ours) {
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
        job->pump();
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
