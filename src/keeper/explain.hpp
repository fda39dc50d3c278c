/// Describes the state of one object or VM as text lines for an operator.
#ifndef VANILLAGAUGE_KEEPER_EXPLAIN_HPP
#define VANILLAGAUGE_KEEPER_EXPLAIN_HPP

#include "keeper/keeper_state.hpp"

#include <string>
#include <vector>

namespace vanillagauge::keeper {

/// `subject` is deployment/NAME, job/NAME, drain/VM or vm/VM; `not_found` if this keeper holds no such
/// object.
result<std::vector<std::string>> explain(const keeper_state& state, const std::string& subject);

} // namespace vanillagauge::keeper

#endif
