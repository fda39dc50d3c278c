/// Loads the snapshot at the start and keeps it up to date.
#ifndef VANILLAGAUGE_KEEPER_SNAPSHOT_UPDATER_HPP
#define VANILLAGAUGE_KEEPER_SNAPSHOT_UPDATER_HPP

#include "keeper/keeper_state.hpp"
#include "wire/event_loop.hpp"

#include <string>
#include <vector>

namespace vanillagauge::keeper {

/// For a VM without a data folder it does nothing.
class snapshot_updater {
public:
    /// The state must outlive it.
    snapshot_updater(keeper_state& state, const std::string& data_folder);

    /// Takes the configuration of the snapshot, where there is a whole one; returns the peers it names.
    std::vector<std::string> load();
    void start();

private:
    keeper_state& state_;
    std::string path_; ///< empty: no disk
    std::uint64_t written_revision_ = 0;
    std::uint64_t written_generation_ = 0;
    wire::event_loop disk_; ///< its own thread: a slow disk must not delay the failure detector

    void tick();
    void write();
};

} // namespace vanillagauge::keeper

#endif
