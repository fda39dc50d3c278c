/// What an operator should do after a command has failed.
#ifndef VANILLAGAUGE_CTL_ADVICE_HPP
#define VANILLAGAUGE_CTL_ADVICE_HPP

#include "base/base.hpp"

#include <string>

namespace vanillagauge::ctl {

/// The next step, as one line.
std::string advice(const error& failure);

/// The process's exit code: scripts tell a conflict and an unknown outcome from other failures.
int exit_code(const error& failure);

constexpr int exit_conflict = 4;
constexpr int exit_in_doubt = 5;

} // namespace vanillagauge::ctl

#endif
