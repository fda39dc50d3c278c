/// Records of rollouts as they are stored in the Object API, where other programs write too.
#ifndef VANILLAGAUGE_ROLLOUT_CORE_STORED_RECORDS_HPP
#define VANILLAGAUGE_ROLLOUT_CORE_STORED_RECORDS_HPP

#include "samples/samples.hpp"

#include <optional>
#include <string>

namespace vanillagauge::rollout {

/// The holder that a stored lease names; empty if it cannot be read.
std::string holder_in(const std::string& lease);

std::string to_text(const samples::checkpoint& record);

/// None if the text is no checkpoint.
std::optional<samples::checkpoint> checkpoint_from_text(const std::string& text);

} // namespace vanillagauge::rollout

#endif
