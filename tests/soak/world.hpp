/// All that lies around the gateways under test: store, replicas, the links to both, the operator and
/// trainers' versions; and the faults in them, drawn from a seed.
#ifndef VANILLAGAUGE_TESTS_SOAK_WORLD_HPP
#define VANILLAGAUGE_TESTS_SOAK_WORLD_HPP

#include "fault_proxy.hpp"
#include "standins/users/fake_replica.hpp"
#include "standins/users/fake_store.hpp"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace vanillagauge::soak {

/// A replica behind a proxy of its own.
struct placed_replica {
    std::unique_ptr<standins::fake_replica> replica;
    std::unique_ptr<fault_proxy> link;
    std::string address; ///< of the proxy
    std::string service;
    std::string state;                   ///< as announced; empty: no longer in the store
    std::uint64_t announced_version = 0; ///< of its weights
    bool leaving = false;
};

enum class soak_plan {
    mixed, ///< everything is spoiled
    stops, ///< planned stops beside changes and a spoiled store; replicas and their links are sound
};

class world {
public:
    world(net::loop& loop, std::uint64_t seed, std::size_t gateways, soak_plan plan);

    // Commands, on the loop's thread.
    void start();
    /// Ends all faults and changes.
    void calm();

    // Queries.
    /// Where the gateway of this place reaches the store.
    const std::string& store_address(std::size_t place) const { return store_addresses_.at(place); }
    bool is_calm() const { return calm_; }
    time_point calm_since() const { return calm_since_; }
    std::uint64_t newest_version() const { return model_version_; }
    std::uint64_t configuration() const { return configuration_; }
    std::vector<standins::received_request> ran() const;
    /// Whether a replica that ran this request met a fault, or its link did since the request was sent.
    bool replica_failed(const std::string& attempt_id, time_point sent_at) const;
    const std::vector<placed_replica>& replicas() const { return replicas_; }

private:
    net::loop& loop_;
    std::uint64_t seed_;
    soak_plan plan_;
    standins::fake_store store_;
    std::vector<std::unique_ptr<fault_proxy>> store_links_;
    std::vector<std::string> store_addresses_;
    std::vector<placed_replica> replicas_;
    std::uint64_t configuration_ = 0;
    std::uint64_t model_version_ = 1;
    std::size_t replicas_made_ = 0;
    bool calm_ = false;
    time_point calm_since_{};

    placed_replica& add_replica(const std::string& service);
    void announce(placed_replica& placed, const std::string& state);
    void withdraw(placed_replica& placed);
    net::task<void> keep_entries();
    void put_configuration();
    net::task<void> spoil_links(std::uint64_t actor, bool to_store);
    net::task<void> spoil_store(std::uint64_t actor);
    net::task<void> spoil_replicas(std::uint64_t actor);
    net::task<void> replace_replicas(std::uint64_t actor);
    net::task<void> change_configuration(std::uint64_t actor);
    net::task<void> name_versions(std::uint64_t actor);
};

} // namespace vanillagauge::soak

#endif
