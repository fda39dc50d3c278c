/// Brings a deployment's engines to the newest announced weights, a few at a time.
#ifndef VANILLAGAUGE_ROLLOUT_WEIGHT_ROLLOUT_HPP
#define VANILLAGAUGE_ROLLOUT_WEIGHT_ROLLOUT_HPP

#include "rollout/context.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace vanillagauge::rollout {

class weight_rollout : public std::enable_shared_from_this<weight_rollout> {
public:
    explicit weight_rollout(const context& shared) : context_(shared) {}

    /// The version is a maximum: announcing an older one changes nothing.
    void announce(const std::string& deployment, std::uint64_t version);
    /// Orders what is due.
    void tick();

private:
    struct engine_state {
        std::uint64_t version = 0; ///< the last one an order brought into force
        bool ordering = false;
    };
    struct deployment_state {
        std::uint64_t announced = 0;
        std::map<std::string, engine_state> engines;
    };
    context context_;
    std::mutex mutex_;
    std::map<std::string, deployment_state> deployments_;

    std::vector<std::pair<std::string, std::string>> due(const config::deployment_spec& spec);
    void order(const std::string& deployment, const std::string& engine, const std::string& address,
               std::uint64_t version);
};

} // namespace vanillagauge::rollout

#endif
