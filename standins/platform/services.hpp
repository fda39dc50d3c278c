/// The services of the stand-in platform, with faults set through its control service.
#ifndef VANILLAGAUGE_STANDINS_PLATFORM_SERVICES_HPP
#define VANILLAGAUGE_STANDINS_PLATFORM_SERVICES_HPP

#include "object_store.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <list>
#include <mutex>

namespace vanillagauge::standins {

struct platform_state {
    std::mutex mutex;
    object_store objects;
    platform::v1::ModeRequest mode;
    platform::v1::CallCountsReply counts;
    int replies_to_lose = 0;
    std::list<std::function<bool()>> watches; ///< each returns true once it has answered
};

class object_api final : public platform::v1::ObjectApi {
public:
    object_api(platform_state& state, wire::event_loop& loop) : state_(state), loop_(loop) {}

    void Read(google::protobuf::RpcController* control, const platform::v1::ReadRequest* request,
              platform::v1::ReadReply* reply, google::protobuf::Closure* done) override;
    void Write(google::protobuf::RpcController* control, const platform::v1::WriteRequest* request,
               platform::v1::WriteReply* reply, google::protobuf::Closure* done) override;
    void List(google::protobuf::RpcController* control, const platform::v1::ListRequest* request,
              platform::v1::ListReply* reply, google::protobuf::Closure* done) override;
    void Watch(google::protobuf::RpcController* control, const platform::v1::WatchRequest* request,
               platform::v1::WatchReply* reply, google::protobuf::Closure* done) override;

private:
    platform_state& state_;
    wire::event_loop& loop_;

    /// Runs `work` under the lock after the injected delay; fails the call in an injected outage.
    void serve(google::protobuf::RpcController* control, google::protobuf::Closure* done,
               std::function<void()> work);
};

class vm_list final : public platform::v1::VmList {
public:
    explicit vm_list(platform_state& state) : state_(state) {}
    void Get(google::protobuf::RpcController* control, const platform::v1::VmListRequest* request,
             platform::v1::VmListReply* reply, google::protobuf::Closure* done) override;

private:
    platform_state& state_;
};

/// Limits the rate of fetches by a token bucket.
class weight_store final : public platform::v1::WeightStore {
public:
    explicit weight_store(int fetches_per_second) : rate_(fetches_per_second) {}
    void Fetch(google::protobuf::RpcController* control, const platform::v1::FetchRequest* request,
               platform::v1::FetchReply* reply, google::protobuf::Closure* done) override;

private:
    int rate_;
    std::mutex mutex_;
    double tokens_ = 0;
    time_point refilled_at_ = steady::now();
};

class platform_control final : public platform::v1::Control {
public:
    explicit platform_control(platform_state& state) : state_(state) {}
    void Mode(google::protobuf::RpcController* control, const platform::v1::ModeRequest* request,
              platform::v1::ModeReply* reply, google::protobuf::Closure* done) override;
    void Counts(google::protobuf::RpcController* control, const platform::v1::CallCountsRequest* request,
                platform::v1::CallCountsReply* reply, google::protobuf::Closure* done) override;

private:
    platform_state& state_;
};

} // namespace vanillagauge::standins

#endif
