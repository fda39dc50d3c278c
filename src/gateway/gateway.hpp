/// The gateway: callers' requests, batches and weights in front of a fleet of replicas.
#ifndef VANILLAGAUGE_GATEWAY_GATEWAY_HPP
#define VANILLAGAUGE_GATEWAY_GATEWAY_HPP

#include "gateway/batch_runner.hpp"
#include "gateway/batch_service.hpp"
#include "gateway/configuration.hpp"
#include "gateway/feed_sync.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/forwarder.hpp"
#include "gateway/object_store.hpp"
#include "gateway/peer_relay.hpp"
#include "gateway/target_protocol.hpp"
#include "gateway/target_registry.hpp"
#include "gateway/weights_updater.hpp"
#include "policy/stop_plan.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// A model's version of weights, as a trainer named it.
struct model_version {
    std::string model;
    std::uint64_t version = 0;
};

/// Where the operator's, the replicas' and the trainers' objects stand in the store, and how they are read.
struct store_schema {
    std::string replicas; ///< kinds of objects
    std::string configurations;
    std::string versions;
    std::string retirements;
    std::string current_configuration; ///< the name of the one that counts
    std::function<result<replica>(const stored_object&)> decode_replica;
    std::function<result<configuration>(const stored_object&)> decode_configuration;
    std::function<result<model_version>(const stored_object&)> decode_version;
    nlohmann::json retirement_done; ///< the status of a VM that holds nothing any more
};

/// A gateway that callers can be sent to.
struct gateway_addresses {
    std::vector<std::string> front_addresses;
    milliseconds cache_time{0};
};

class gateway {
public:
    /// All must outlive it.
    gateway(wire::event_loop& loop, const config::settings& settings, object_store& store,
            const target_protocol& protocol, store_schema schema);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    // Commands.
    /// `front_address` is where callers reach this VM; empty: it serves none.
    result<done> open(const std::string& front_address);
    /// Takes over what may change while the program runs; the rest counts from the next start.
    void reload(const config::settings& changed);
    /// No new work is to come; what is under way goes on, and what cannot end in time is refused.
    void drain(std::shared_ptr<const policy::stop_plan> plan);
    /// Nothing is under way, or the time is over.
    void leave();
    /// Ends the connections with other gateways; from another thread, before the loop stops.
    void close();
    /// Forwards a request of a plain, once-only or streaming route.
    net::task<void> forward(route chosen, caller_request request, net::responder& answer);

    // Queries.
    /// Version 0 while none is known.
    const configuration& current_configuration() const;
    bool ready() const;
    /// Batches that run here.
    std::size_t batches_running() const;
    /// Gateways to connect to; empty where none can serve.
    gateway_addresses addresses() const;
    batch_service& batches();
    std::string metrics_page() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace vanillagauge::gateway

#endif
