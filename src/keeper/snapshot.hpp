/// The file from which a keeper with a disk starts while the store and its peers are away.
#ifndef VANILLAGAUGE_KEEPER_SNAPSHOT_HPP
#define VANILLAGAUGE_KEEPER_SNAPSHOT_HPP

#include "base/base.hpp"
#include "config/replica.hpp"

#include <string>
#include <vector>

namespace vanillagauge::keeper {

struct snapshot {
    std::vector<config::object> objects;     ///< tombstones too
    std::vector<std::string> peer_addresses; ///< of members that were alive: where to ask first
};

std::string encode(const snapshot& content);
/// `incomplete` where the bytes are torn or changed.
result<snapshot> decode(const std::string& bytes);

/// Replaces the file by one step: a reader, and a start after a crash at any moment, finds the old content or
/// the new, never a mixture.
result<done> write_snapshot(const std::string& path, const snapshot& content);
/// `not_found` where there is none.
result<snapshot> read_snapshot(const std::string& path);

} // namespace vanillagauge::keeper

#endif
