/// Copies the configuration from the Object API into the keeper's state, on the few VMs that watch it.
#ifndef VANILLAGAUGE_KEEPER_CONFIG_FEED_HPP
#define VANILLAGAUGE_KEEPER_CONFIG_FEED_HPP

#include "keeper/keeper_state.hpp"
#include "objects/object_client.hpp"
#include "wire/event_loop.hpp"

#include <optional>

namespace vanillagauge::keeper {

/// The kinds of configuration objects.
const std::vector<std::string>& config_kinds();
bool is_config_kind(const std::string& kind);
config::object to_config(const objects::stored_object& item);

class config_feed {
public:
    /// All three must outlive the feed.
    config_feed(keeper_state& state, objects::object_client& store, wire::event_loop& loop)
        : state_(state), store_(store), loop_(loop)
    {
    }

    void start();
    /// Lists the store once, whether this VM watches it or not.
    void list_once();

private:
    keeper_state& state_;
    objects::object_client& store_;
    wire::event_loop& loop_;
    std::uint64_t watch_revision_ = 0;
    int failures_ = 0;
    bool listed_ = false;      ///< `watch_revision_` is valid
    bool in_progress_ = false; ///< a list or watch call, or the delay after a failed one

    void tick();
    /// Lists the kinds in sequence, then calls `on_done` with the first listing's revision or an error.
    void list(std::size_t index, std::uint64_t revision, std::function<void(result<std::uint64_t>)> on_done);
    void watch();
    void succeeded();
    void failed(const error& failure, bool watching);
    void merge_events(const std::vector<objects::stored_object>& items);
};

} // namespace vanillagauge::keeper

#endif
