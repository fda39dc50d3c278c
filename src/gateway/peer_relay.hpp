/// Access to the store, directly or through another gateway.
///
/// The store may be unreachable from some VMs while it serves the rest. Without the relay such a VM would
/// send work to departed replicas and apply an old configuration.
#ifndef VANILLAGAUGE_GATEWAY_PEER_RELAY_HPP
#define VANILLAGAUGE_GATEWAY_PEER_RELAY_HPP

#include "gateway/fleet_view.hpp"
#include "gateway/store_call.hpp"
#include "net/connection_pool.hpp"
#include "policy/store_breaker.hpp"

#include <map>
#include <memory>
#include <string>

namespace vanillagauge::gateway {

class peer_relay final : public object_store {
public:
    /// All must outlive it.
    peer_relay(net::loop& loop, object_store& direct, const fleet_view& fleet);

    net::task_of<stored_object> read(std::string kind, std::string name) override;
    net::task_of<object_listing> list(std::string kind, std::string after) override;
    net::task_of<done> ping(std::string kind, milliseconds within) override;
    net::task_of<object_changes> watch(std::string kind, std::uint64_t since, milliseconds wait) override;
    net::task_of<stored_object> create(std::string kind, std::string name, nlohmann::json value) override;
    net::task_of<stored_object> replace(std::string kind, std::string name, nlohmann::json value,
                                        std::uint64_t revision) override;
    net::task_of<stored_object> set_status(std::string kind, std::string name,
                                           nlohmann::json status) override;

    /// Makes a store call for a peer, always directly, so that calls cannot loop.
    net::task<net::http_response> serve(const net::http_request& request);
    /// Posts `body` to a peer; any failure is `unavailable`.
    net::task_of<nlohmann::json> call_peer(std::string address, std::string path, nlohmann::json body,
                                           time_point until);
    /// Whether the last direct call failed.
    bool direct_fails() const { return direct_failed_; }

private:
    net::loop& loop_;
    object_store& direct_;
    const fleet_view& fleet_;
    std::map<std::string, std::unique_ptr<net::connection_pool>> pools_;
    std::string last_good_; ///< the peer address that last relayed a call
    policy::store_breaker breaker_;
    bool direct_failed_ = false; ///< the last direct call failed
    time_point direct_retry_{};

    net::task_of<store_answer> call(store_call wanted);
    net::task_of<store_answer> call_all_ways(store_call wanted);
    net::task_of<stored_object> call_object(store_call wanted);
    net::task_of<store_answer> call_directly(store_call wanted);
    net::task_of<store_answer> call_peers(const store_call& wanted, time_point until);
    std::vector<std::string> relay_candidates() const;
    void record_direct_result(const error* failed);
};

} // namespace vanillagauge::gateway

#endif
