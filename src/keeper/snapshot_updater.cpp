#include "keeper/snapshot_updater.hpp"

#include "keeper/snapshot.hpp"
#include "observe/log.hpp"

namespace vanillagauge::keeper {
namespace {

constexpr milliseconds tick_interval{2000};
constexpr std::size_t max_peers = 32;

} // namespace

snapshot_updater::snapshot_updater(keeper_state& state, const std::string& data_folder)
    : state_(state), path_(data_folder.empty() ? "" : data_folder + "/keeper/snapshot")
{
}

std::vector<std::string> snapshot_updater::load()
{
    if (path_.empty()) {
        return {};
    }
    const auto found = read_snapshot(path_);
    if (!ok(found)) {
        observe::log(observe::log_level::warning, "snapshot_not_used", {{"detail", failure(found).detail}});
        return {};
    }
    // Merged like a peer's objects: higher versions from a peer or the store replace them.
    state_.merge_config(value(found).objects);
    return value(found).peer_addresses;
}

void snapshot_updater::start()
{
    if (!path_.empty()) {
        disk_.post([this] { tick(); });
    }
}

void snapshot_updater::tick()
{
    disk_.after(tick_interval, [this] { tick(); });
    const auto revision = state_.config_revision();
    const auto generation = state_.members_generation();
    if (revision != written_revision_ || generation != written_generation_) {
        write();
        written_revision_ = revision;
        written_generation_ = generation;
    }
}

void snapshot_updater::write()
{
    snapshot content;
    content.objects = state_.config_changes_since(0);
    const auto self = state_.self();
    for (const auto& member : state_.members()) {
        const bool other = member.info.vm != self.vm && member.state == fleet::member_state::alive;
        if (other && content.peer_addresses.size() < max_peers) {
            content.peer_addresses.push_back(member.info.peer_address);
        }
    }
    const auto written = write_snapshot(path_, content);
    if (!ok(written)) {
        observe::log(observe::log_level::error, "snapshot_not_written",
                     {{"detail", failure(written).detail}});
    }
}

} // namespace vanillagauge::keeper
