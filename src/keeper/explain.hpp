/// What a keeper knows about one object or VM, in lines for an operator.
#ifndef VANILLAGAUGE_KEEPER_EXPLAIN_HPP
#define VANILLAGAUGE_KEEPER_EXPLAIN_HPP

#include "keeper/keeper_state.hpp"

#include <string>
#include <vector>

namespace vanillagauge::keeper {

/// `subject` is deployment/NAME, job/NAME, drain/VM or vm/VM.
result<std::vector<std::string>> explain(const keeper_state& state, const std::string& subject);

} // namespace vanillagauge::keeper

#endif
