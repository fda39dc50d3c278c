/// The commands of vgctl, each on a channel to a keeper's operator address.
#ifndef VANILLAGAUGE_CTL_COMMANDS_HPP
#define VANILLAGAUGE_CTL_COMMANDS_HPP

#include "base/base.hpp"
#include "wire/channel.hpp"

#include <string>
#include <vector>

namespace vanillagauge::ctl {

enum class output { table, json };

struct session {
    wire::channel& link;
    std::string token;
    output form = output::table;
};

/// What a command prints.
using printed = result<std::string>;

printed apply(const session& to, const std::string& file);
printed get(const session& to, const std::string& kind, const std::string& name);
printed list(const session& to, const std::string& kind);
printed remove(const session& to, const std::string& kind, const std::string& name);
printed status(const session& to);
printed explain(const session& to, const std::string& subject);
printed drain(const session& to, const std::string& vm);

} // namespace vanillagauge::ctl

#endif
