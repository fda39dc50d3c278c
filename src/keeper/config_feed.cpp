#include "keeper/config_feed.hpp"

#include "observe/log.hpp"

#include <algorithm>

namespace vanillagauge::keeper {
namespace {

constexpr milliseconds watch_wait{10000};
constexpr milliseconds retry_pause{500};

} // namespace

const std::vector<std::string>& config_kinds()
{
    static const std::vector<std::string> kinds{"deployment", "job", "drain"};
    return kinds;
}

bool is_config_kind(const std::string& kind)
{
    const auto& kinds = config_kinds();
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

config::object to_config(const platform::stored_object& item)
{
    return {item.kind, item.name, item.version, item.value, item.deleted};
}

void config_feed::take(const std::vector<platform::stored_object>& items)
{
    std::vector<config::object> objects;
    for (const auto& item : items) {
        if (is_config_kind(item.kind)) {
            objects.push_back(to_config(item));
        }
    }
    state_.merge_config(objects);
}

void config_feed::list()
{
    store_.list("", [this](const result<platform::listing>& reply) {
        state_.set_store_up(ok(reply));
        if (!ok(reply)) {
            observe::log(observe::log_level::warning, "store_list_failed",
                         {{"detail", failure(reply).detail}});
            loop_.after(retry_pause, [this] { list(); });
            return;
        }
        take(value(reply).objects);
        since_ = value(reply).revision;
        watch();
    });
}

void config_feed::watch()
{
    store_.watch(config_kinds(), since_, watch_wait, [this](const result<platform::watch_events>& reply) {
        state_.set_store_up(ok(reply));
        if (!ok(reply)) {
            loop_.after(retry_pause, [this] { watch(); });
            return;
        }
        if (value(reply).compacted) {
            list();
            return;
        }
        take(value(reply).objects);
        since_ = value(reply).revision;
        watch();
    });
}

} // namespace vanillagauge::keeper
