/// Advice and exit codes for failed commands.
#ifndef VANILLAGAUGE_CTL_ADVICE_HPP
#define VANILLAGAUGE_CTL_ADVICE_HPP

#include "base/base.hpp"

#include <string>

namespace vanillagauge::ctl {

/// The suggested next step for the operator, on one line.
std::string advice(const error& failure);

/// The process's exit code; a conflict and an unknown outcome have codes of their own for scripts.
int exit_code(const error& failure);

constexpr int exit_conflict = 4;
constexpr int exit_in_doubt = 5;

} // namespace vanillagauge::ctl

#endif
