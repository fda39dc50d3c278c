/// Brings the configuration from the Object API into the keeper's state: list once, then watch.
#ifndef VANILLAGAUGE_KEEPER_CONFIG_FEED_HPP
#define VANILLAGAUGE_KEEPER_CONFIG_FEED_HPP

#include "keeper/keeper_state.hpp"
#include "platform/object_client.hpp"
#include "wire/event_loop.hpp"

namespace vanillagauge::keeper {

/// The kinds of the operators' objects.
const std::vector<std::string>& config_kinds();
bool is_config_kind(const std::string& kind);
config::object to_config(const platform::stored_object& item);

class config_feed {
public:
    /// All three must outlive the feed.
    config_feed(keeper_state& state, platform::object_client& store, wire::event_loop& loop)
        : state_(state), store_(store), loop_(loop)
    {
    }

    void start() { list(); }

private:
    keeper_state& state_;
    platform::object_client& store_;
    wire::event_loop& loop_;
    std::uint64_t since_ = 0;

    void list();
    void watch();
    void take(const std::vector<platform::stored_object>& items);
};

} // namespace vanillagauge::keeper

#endif
