/// A stand-in plain service: answers calls and scores samples after a configured time.
#ifndef VANILLAGAUGE_STANDINS_TARGET_PLAIN_SERVICE_HPP
#define VANILLAGAUGE_STANDINS_TARGET_PLAIN_SERVICE_HPP

#include "faults.hpp"

#include <atomic>

namespace vanillagauge::standins {

struct service_options {
    milliseconds service_time{5};
    int workers = 16; ///< calls served concurrently; others queue in the service
};

class plain_service final : public target::v1::PlainService {
public:
    plain_service(service_options options, fault_state& faults, wire::event_loop& loop)
        : options_(options), faults_(faults), loop_(loop)
    {
    }

    void Call(google::protobuf::RpcController* control, const target::v1::CallRequest* request,
              target::v1::CallReply* reply, google::protobuf::Closure* done) override;
    void Load(google::protobuf::RpcController* control, const target::v1::LoadRequest* request,
              target::v1::LoadReply* reply, google::protobuf::Closure* done) override;
    void Score(google::protobuf::RpcController* control, const target::v1::ScoreRequest* request,
               target::v1::ScoreReply* reply, google::protobuf::Closure* done) override;

private:
    const service_options options_;
    fault_state& faults_;
    wire::event_loop& loop_;
    std::mutex mutex_;
    std::vector<time_point> worker_free_at_;

    /// Assigns a call to the first free worker; returns the time until it is done.
    milliseconds reserve_worker(milliseconds extra);
};

} // namespace vanillagauge::standins

#endif
