/// The store as it is reached from this VM: directly, or through a gateway that the store serves.
///
/// The store may refuse some VMs, or be cut off from them, while it serves the rest. A VM that then worked on
/// with what it knew would send work to replicas that leave and answer by an old configuration.
#ifndef VANILLAGAUGE_GATEWAY_PEER_RELAY_HPP
#define VANILLAGAUGE_GATEWAY_PEER_RELAY_HPP

#include "gateway/fleet_view.hpp"
#include "gateway/store_call.hpp"
#include "net/connection_pool.hpp"

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

    /// Answers a call that a peer could not make itself; only directly, so that no call goes in circles.
    net::task<net::http_response> serve(const net::http_request& request);
    /// One call to a peer; any failure is `unavailable`.
    net::task_of<nlohmann::json> call_peer(std::string address, std::string path, nlohmann::json body,
                                           time_point until);
    /// The direct way has failed lately and was not seen to work since.
    bool direct_fails() const { return direct_failed_; }

private:
    net::loop& loop_;
    object_store& direct_;
    const fleet_view& fleet_;
    std::map<std::string, std::unique_ptr<net::connection_pool>> pools_;
    std::string last_good_;      ///< the relay address that served last
    bool direct_failed_ = false; ///< so the next call asks a peer first
    time_point direct_retry_{};

    net::task_of<store_answer> call(store_call wanted);
    net::task_of<stored_object> call_object(store_call wanted);
    net::task_of<store_answer> call_directly(store_call wanted);
    net::task_of<store_answer> call_peers(const store_call& wanted, time_point until);
    std::vector<std::string> relay_candidates() const;
    void record_direct_result(const error* failed);
};

} // namespace vanillagauge::gateway

#endif
