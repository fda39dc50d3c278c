/// Connects the failure detector and the configuration replica to the other keepers.
#ifndef VANILLAGAUGE_KEEPER_GOSSIP_HPP
#define VANILLAGAUGE_KEEPER_GOSSIP_HPP

#include "keeper/channel_cache.hpp"
#include "keeper/datagram_link.hpp"
#include "keeper/keeper_state.hpp"

#include "vanillagauge.pb.h"

#include <atomic>

namespace vanillagauge::keeper {

/// Calls that this VM made to other keepers, with the bytes of requests and replies.
struct peer_call_counts {
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;
};

class gossip {
public:
    /// The state and the loop must outlive it.
    gossip(keeper_state& state, wire::event_loop& loop, const config::settings& settings);

    /// Binds the datagram port on this host; returns the address.
    result<std::string> open(const std::string& host) { return datagrams_.open(host); }
    void start() { tick(); }
    /// Adds peers to contact while no live peer is known; call before `start`.
    void add_seeds(const std::vector<std::string>& addresses)
    {
        seeds_.insert(seeds_.end(), addresses.begin(), addresses.end());
    }
    /// Sets the peers listed in the store, contacted like seeds. Safe to call from any thread.
    void set_store_peers(std::vector<std::string> addresses);
    /// Runs if pulls from peers do not resolve a difference, so that the store must be listed.
    void on_list_needed(std::function<void()> handler) { list_needed_ = std::move(handler); }
    /// Announces to peers that this VM leaves.
    void leave();
    /// Stops the probes and cancels the calls to peers; call on the loop's thread.
    void stop();

    v1::ExchangeReply answer(const v1::ExchangeRequest& request);
    v1::ConfigPullReply answer(const v1::ConfigPullRequest& request) const;
    datagram_counts counts() const { return datagrams_.counts(); }
    peer_call_counts peer_calls() const { return {calls_, call_bytes_}; }

private:
    keeper_state& state_;
    wire::event_loop& loop_;
    channel_cache peers_;
    datagram_link datagrams_;
    config::pull_planner pulls_;
    std::vector<std::string> seeds_;
    std::vector<std::string> store_peers_;
    std::string token_;
    std::function<void()> list_needed_;
    time_point next_seed_at_;
    std::size_t seed_index_ = 0;
    bool stopped_ = false;
    std::atomic<std::uint64_t> calls_{0};
    std::atomic<std::uint64_t> call_bytes_{0};

    void tick();
    void receive(const fleet::datagram& message);
    void perform(const fleet::detector_actions& actions);
    void contact_seed(time_point now);
    bool has_live_peer() const;
    std::string next_seed();
    std::string next_unknown_peer();
    void start_exchange(const std::string& address);
    void finish_exchange(const std::string& address, const v1::ExchangeReply& reply);
    void consider_pull(const fleet::datagram& message, time_point now);
    void pull(const std::string& address, bool complete);
    void count_call(const google::protobuf::Message& request);
    wire::call_options options() const;
};

} // namespace vanillagauge::keeper

#endif
