/// Converts samples to messages of the schema.
#ifndef VANILLAGAUGE_ROLLOUT_SAMPLE_MESSAGE_HPP
#define VANILLAGAUGE_ROLLOUT_SAMPLE_MESSAGE_HPP

#include "config/specs.hpp"
#include "samples/samples.hpp"

#include "vanillagauge.pb.h"

namespace vanillagauge::rollout {

v1::Sample to_message(const samples::delivered& item, const config::job_spec& spec, const std::string& id,
                      const std::string& prompt);

} // namespace vanillagauge::rollout

#endif
