/// The file from which a keeper with a disk starts while the store and its peers are unreachable.
#ifndef VANILLAGAUGE_KEEPER_SNAPSHOT_HPP
#define VANILLAGAUGE_KEEPER_SNAPSHOT_HPP

#include "base/base.hpp"
#include "config/replica.hpp"

#include <string>
#include <vector>

namespace vanillagauge::keeper {

struct snapshot {
    std::vector<config::object> objects;     ///< tombstones too
    std::vector<std::string> peer_addresses; ///< of members that were alive; contacted first
};

std::string encode(const snapshot& content);
/// `incomplete` if the bytes are truncated or corrupted.
result<snapshot> decode(const std::string& bytes);

/// Replaces the file atomically: a reader, or a start after a crash, finds either the old or the new content.
/// `unavailable` if a file operation fails.
result<done> write_snapshot(const std::string& path, const snapshot& content);
/// `not_found` if there is none; `incomplete` as for `decode`.
result<snapshot> read_snapshot(const std::string& path);

} // namespace vanillagauge::keeper

#endif
