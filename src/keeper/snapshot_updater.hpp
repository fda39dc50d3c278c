/// Loads the snapshot at start and rewrites it after changes.
#ifndef VANILLAGAUGE_KEEPER_SNAPSHOT_UPDATER_HPP
#define VANILLAGAUGE_KEEPER_SNAPSHOT_UPDATER_HPP

#include "keeper/keeper_state.hpp"
#include "wire/event_loop.hpp"

#include <string>
#include <vector>

namespace vanillagauge::keeper {

/// Does nothing on a VM without a data folder.
class snapshot_updater {
public:
    /// The state must outlive it.
    snapshot_updater(keeper_state& state, const std::string& data_folder);

    /// Merges the configuration of the snapshot, if a complete one exists; returns its peer addresses.
    std::vector<std::string> load();
    void start();

private:
    keeper_state& state_;
    std::string path_; ///< empty: no data folder
    std::uint64_t written_revision_ = 0;
    std::uint64_t written_generation_ = 0;
    wire::event_loop disk_; ///< a separate thread, so that a slow disk does not delay the failure detector

    void tick();
    void write();
};

} // namespace vanillagauge::keeper

#endif
