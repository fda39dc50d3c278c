/// The keeper's RPC services for the programs of its VM, for other keepers, and for operators.
#ifndef VANILLAGAUGE_KEEPER_SERVICES_HPP
#define VANILLAGAUGE_KEEPER_SERVICES_HPP

#include "keeper/config_counter.hpp"
#include "keeper/gossip.hpp"
#include "keeper/keeper_state.hpp"
#include "keeper/lease_renewer.hpp"
#include "keeper/operator_watch.hpp"
#include "objects/object_client.hpp"

#include "vanillagauge.pb.h"

#include <list>
#include <mutex>

namespace vanillagauge::keeper {

class peer_service final : public v1::KeeperPeer {
public:
    peer_service(const keeper_state& state, gossip& exchange) : state_(state), gossip_(exchange) {}

    void ConfigPull(google::protobuf::RpcController* control, const v1::ConfigPullRequest* request,
                    v1::ConfigPullReply* reply, google::protobuf::Closure* done) override;
    void ConfigHeld(google::protobuf::RpcController* control, const v1::ConfigHeldRequest* request,
                    v1::ConfigHeldReply* reply, google::protobuf::Closure* done) override;
    void Exchange(google::protobuf::RpcController* control, const v1::ExchangeRequest* request,
                  v1::ExchangeReply* reply, google::protobuf::Closure* done) override;

private:
    const keeper_state& state_;
    gossip& gossip_;
};

class local_service final : public v1::KeeperLocal {
public:
    local_service(keeper_state& state, objects::object_client& store, const lease_renewer& lease,
                  wire::event_loop& loop)
        : state_(state), store_(store), lease_(lease), loop_(loop)
    {
    }

    void Follow(google::protobuf::RpcController* control, const v1::FollowRequest* request,
                v1::FollowReply* reply, google::protobuf::Closure* done) override;
    void Store(google::protobuf::RpcController* control, const v1::StoreRequest* request,
               v1::StoreReply* reply, google::protobuf::Closure* done) override;
    void Load(google::protobuf::RpcController* control, const v1::LoadRequest* request, v1::LoadReply* reply,
              google::protobuf::Closure* done) override;

    /// Replies to every pending follower.
    void notify();

private:
    struct pending_follow {
        std::uint64_t since = 0;
        std::uint64_t members_generation = 0;
        v1::FollowReply* reply = nullptr;
        google::protobuf::Closure* done = nullptr;
    };
    keeper_state& state_;
    objects::object_client& store_;
    const lease_renewer& lease_;
    wire::event_loop& loop_;
    std::mutex mutex_;
    std::map<std::uint64_t, pending_follow> pending_;
    std::uint64_t next_id_ = 0;

    void answer(const pending_follow& follower) const;
    void expire(std::uint64_t id);
};

class operator_service final : public v1::Operator {
public:
    operator_service(keeper_state& state, objects::object_client& store, config_counter& counter,
                     operator_watch& watch)
        : state_(state), store_(store), counter_(counter), watch_(watch)
    {
    }

    void Apply(google::protobuf::RpcController* control, const v1::ApplyRequest* request,
               v1::ApplyReply* reply, google::protobuf::Closure* done) override;
    void Get(google::protobuf::RpcController* control, const v1::GetRequest* request, v1::GetReply* reply,
             google::protobuf::Closure* done) override;
    void List(google::protobuf::RpcController* control, const v1::ListRequest* request, v1::ListReply* reply,
              google::protobuf::Closure* done) override;
    void Watch(google::protobuf::RpcController* control, const v1::WatchRequest* request,
               v1::WatchReply* reply, google::protobuf::Closure* done) override;
    void Delete(google::protobuf::RpcController* control, const v1::DeleteRequest* request,
                v1::DeleteReply* reply, google::protobuf::Closure* done) override;
    void Status(google::protobuf::RpcController* control, const v1::StatusRequest* request,
                v1::StatusReply* reply, google::protobuf::Closure* done) override;
    void Explain(google::protobuf::RpcController* control, const v1::ExplainRequest* request,
                 v1::ExplainReply* reply, google::protobuf::Closure* done) override;
    void Drain(google::protobuf::RpcController* control, const v1::DrainRequest* request,
               v1::DrainReply* reply, google::protobuf::Closure* done) override;
    void Spread(google::protobuf::RpcController* control, const v1::SpreadRequest* request,
                v1::SpreadReply* reply, google::protobuf::Closure* done) override;

private:
    keeper_state& state_;
    objects::object_client& store_;
    config_counter& counter_;
    operator_watch& watch_;
};

} // namespace vanillagauge::keeper

#endif
