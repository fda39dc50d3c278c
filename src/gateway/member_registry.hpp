/// The gateways' registration in the store, by which they find each other where no seed is alive.
#ifndef VANILLAGAUGE_GATEWAY_MEMBER_REGISTRY_HPP
#define VANILLAGAUGE_GATEWAY_MEMBER_REGISTRY_HPP

#include "gateway/fleet_view.hpp"
#include "gateway/object_store.hpp"

#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

class member_registry {
public:
    /// All must outlive it.
    member_registry(net::loop& loop, object_store& store, fleet_view& fleet);

    /// Registers this VM and looks for the others.
    void start();
    /// Whether all VMs that were registered when they were last listed are alive.
    bool sees_all() const;

private:
    net::loop& loop_;
    object_store& store_;
    fleet_view& fleet_;
    std::optional<std::vector<std::string>> registered_; ///< VMs, once listed

    net::task<bool> register_self();
    net::task<void> list();
    net::task<void> discover();
};

} // namespace vanillagauge::gateway

#endif
