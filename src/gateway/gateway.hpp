/// The gateway: serves callers' requests and batches from a fleet of replicas and updates their weights.
#ifndef VANILLAGAUGE_GATEWAY_GATEWAY_HPP
#define VANILLAGAUGE_GATEWAY_GATEWAY_HPP

#include "gateway/batch_runner.hpp"
#include "gateway/batch_service.hpp"
#include "gateway/configuration.hpp"
#include "gateway/duty_platform.hpp"
#include "gateway/feed_sync.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/forwarder.hpp"
#include "gateway/member_registry.hpp"
#include "gateway/object_store.hpp"
#include "gateway/peer_relay.hpp"
#include "gateway/target_protocol.hpp"
#include "gateway/target_registry.hpp"
#include "gateway/usage_reporter.hpp"
#include "gateway/weights_updater.hpp"
#include "policy/stop_plan.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// A version of a model's weights, announced by a trainer.
struct model_version {
    std::string model;
    std::uint64_t version = 0;
};

/// Kinds, names and decoders of the store objects written by operators, replicas and trainers.
struct store_schema {
    std::string replicas; ///< object kinds, up to `retirements`
    std::string configurations;
    std::string versions;
    std::string retirements;
    std::string current_configuration; ///< name of the configuration in force
    std::function<result<replica>(const stored_object&)> decode_replica;
    std::function<result<configuration>(const stored_object&)> decode_configuration;
    std::function<result<model_version>(const stored_object&)> decode_version;
    nlohmann::json retirement_done; ///< status of a VM that may be removed
};

/// Gateways that callers can connect to.
struct gateway_addresses {
    std::vector<std::string> front_addresses;
    milliseconds cache_time{0};
};

class gateway {
public:
    /// All must outlive it.
    gateway(wire::event_loop& loop, const config::settings& settings, object_store& store,
            duty_platform& duties, const target_protocol& protocol, store_schema schema);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// `front_address` is announced to callers; empty if this VM serves none.
    result<done> open(const std::string& front_address);
    /// Applies the settings that may change at run time; the rest takes effect at the next start.
    void reload(const config::settings& changed);
    /// Announces the drain. Work in flight continues; requests that the plan does not accept are refused.
    void drain(std::shared_ptr<const policy::stop_plan> plan);
    /// Announces that this VM leaves; call when no work is left or the stop's time is over.
    void leave();
    /// Closes the connections to other gateways; call from another thread, before the loop stops.
    void close();
    /// Forwards a request of a plain, once-only or streaming route.
    net::task<void> forward(route chosen, caller_request request, net::responder& answer);

    /// Has version 0 until one is loaded.
    const configuration& current_configuration() const;
    /// Waits until the copy of the configuration is young enough to decide by, or the store was asked for it
    /// in vain.
    net::task<void> refresh_configuration();
    /// Since the copy of the configuration was last known to be current.
    milliseconds configuration_age() const;
    bool ready() const;
    std::size_t batches_running() const;
    /// Of all connections that this process has accepted.
    const std::shared_ptr<net::connection_account>& connections() const;
    /// Gateways that accept callers; empty if none does.
    gateway_addresses addresses() const;
    /// Where this gateway serves its peers.
    std::string relay_address() const;
    batch_service& batches();
    std::string metrics_page() const;
    /// Logs and counts a request whose handler has thrown; the id is empty where it has none.
    void report_escape(const std::string& id, const net::http_request& request, std::string_view why);
    /// Logs and counts a request that was refused because its body has no room.
    void report_refused_body(const std::string& id, std::size_t bytes, milliseconds retry_after);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace vanillagauge::gateway

#endif
