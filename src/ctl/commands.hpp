/// The commands of vgctl that change the configuration.
#ifndef VANILLAGAUGE_CTL_COMMANDS_HPP
#define VANILLAGAUGE_CTL_COMMANDS_HPP

#include "ctl/session.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillagauge::ctl {

struct apply_options {
    std::string file;
    std::optional<std::uint64_t> version; ///< the version the change is based on; overrides the file's
    bool wait = false;                    ///< until every live VM has the new version
    milliseconds wait_time{30000};
};

/// Stops at the first rejected object; the objects before it are applied and printed.
result<done> apply(const session& keeper, const apply_options& options);
result<done> remove(const session& keeper, const std::string& kind, const std::string& name);
result<done> drain(const session& keeper, const std::string& vm);

} // namespace vanillagauge::ctl

#endif
