/// Counts how many live nodes hold a version of an object, by querying each of them.
#ifndef VANILLAGAUGE_KEEPER_CONFIG_COUNTER_HPP
#define VANILLAGAUGE_KEEPER_CONFIG_COUNTER_HPP

#include "keeper/channel_cache.hpp"
#include "keeper/keeper_state.hpp"
#include "wire/event_loop.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::keeper {

struct config_spread {
    std::size_t holding = 0;
    std::vector<std::string> missing; ///< VMs that do not hold it or did not reply
};

class config_counter {
public:
    using on_counted = std::function<void(const config_spread&)>;

    /// The state and the loop must outlive it.
    config_counter(const keeper_state& state, wire::event_loop& loop, std::string token);

    /// Polls until all live nodes hold at least this version or `wait` has elapsed.
    void count(const config::object_version& wanted, milliseconds wait, on_counted on_done);

private:
    struct pending_count;
    const keeper_state& state_;
    wire::event_loop& loop_;
    std::string token_;
    channel_cache peers_;

    void poll(const std::shared_ptr<pending_count>& pending);
    void query(const std::shared_ptr<pending_count>& pending, const fleet::node& peer);
    void finish(const std::shared_ptr<pending_count>& pending);
};

} // namespace vanillagauge::keeper

#endif
