/// Exchanges members and configuration with the other keepers.
#ifndef VANILLAGAUGE_KEEPER_GOSSIP_HPP
#define VANILLAGAUGE_KEEPER_GOSSIP_HPP

#include "keeper/keeper_state.hpp"
#include "node/channel_pool.hpp"

#include "vanillagauge.pb.h"

namespace vanillagauge::keeper {

class gossip {
public:
    /// The state and the loop must outlive it.
    gossip(keeper_state& state, wire::event_loop& loop, const config::settings& settings);

    void start() { round(); }

    /// The answer to a peer's exchange.
    v1::ExchangeReply answer(const v1::ExchangeRequest& request);

private:
    keeper_state& state_;
    wire::event_loop& loop_;
    node::channel_pool peers_;
    std::vector<std::string> seeds_;
    std::string token_;

    void round();
    void exchange(const std::string& address, bool whole_config);
    void take(const google::protobuf::RepeatedPtrField<v1::NodeInfo>& nodes,
              const google::protobuf::RepeatedPtrField<v1::ConfigEntry>& entries);
};

} // namespace vanillagauge::keeper

#endif
