/// In-memory object store of the stand-in platform.
#ifndef VANILLAGAUGE_STANDINS_PLATFORM_OBJECT_STORE_HPP
#define VANILLAGAUGE_STANDINS_PLATFORM_OBJECT_STORE_HPP

#include "platform.pb.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace vanillagauge::standins {

/// Not thread-safe.
class object_store {
public:
    platform::v1::WriteReply write(const platform::v1::WriteRequest& request);
    platform::v1::ReadReply read(const std::string& kind, const std::string& name) const;
    platform::v1::ListReply list(const std::string& kind) const;
    /// Objects of the requested kinds changed after the request's revision, deleted ones included.
    platform::v1::WatchReply changes(const platform::v1::WatchRequest& request) const;
    void compact_below(std::uint64_t revision) { compacted_revision_ = revision; }

private:
    std::map<std::pair<std::string, std::string>, platform::v1::Object> objects_;
    std::uint64_t revision_ = 0;
    std::uint64_t compacted_revision_ = 0;
};

} // namespace vanillagauge::standins

#endif
