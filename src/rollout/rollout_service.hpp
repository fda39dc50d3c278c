/// The service for trainers. Each job is served by its owner; other processes redirect to it.
#ifndef VANILLAGAUGE_ROLLOUT_ROLLOUT_SERVICE_HPP
#define VANILLAGAUGE_ROLLOUT_ROLLOUT_SERVICE_HPP

#include "rollout/job_runner.hpp"
#include "rollout/weight_rollout.hpp"

#include "vanillagauge.pb.h"

namespace vanillagauge::rollout {

class rollout_service final : public v1::Rollout {
public:
    explicit rollout_service(const context& shared)
        : context_(shared), weights_(std::make_shared<weight_rollout>(shared))
    {
    }

    void Pull(google::protobuf::RpcController* control, const v1::PullRequest* request, v1::PullReply* reply,
              google::protobuf::Closure* done) override;
    void JobStatus(google::protobuf::RpcController* control, const v1::JobStatusRequest* request,
                   v1::JobStatusReply* reply, google::protobuf::Closure* done) override;
    void Announce(google::protobuf::RpcController* control, const v1::AnnounceRequest* request,
                  v1::AnnounceReply* reply, google::protobuf::Closure* done) override;

    /// Stops the runners of jobs no longer owned here, ticks the others, and sends the weight orders that are
    /// due.
    void tick();
    void stop();

private:
    context context_;
    std::shared_ptr<weight_rollout> weights_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<job_runner>> runners_;
    bool stopped_ = false;

    result<std::shared_ptr<job_runner>> find_runner(const std::string& job);
};

} // namespace vanillagauge::rollout

#endif
