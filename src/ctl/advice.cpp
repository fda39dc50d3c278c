#include "ctl/advice.hpp"

#include "node/program.hpp"

namespace vanillagauge::ctl {

std::string advice(const error& failure)
{
    switch (failure.code) {
    case error_code::conflict:
        return "somebody changed the object since: get it, make your change on the current version and apply "
               "again";
    case error_code::unauthenticated:
    case error_code::permission_denied:
        return "check --token or VGCTL_TOKEN against tokens.operator in the VM's settings";
    case error_code::invalid_argument:
        return "correct what is named above; docs/settings.md and docs/operators.md list what is expected";
    case error_code::not_found:
        return "`vgctl list` shows the objects there are";
    case error_code::overloaded:
        return "nothing was changed; ask again after " + std::to_string(failure.retry_after.count()) + " ms";
    case error_code::deadline_exceeded:
        return failure.ran == run_state::ran
                   ? "the change is accepted and goes on spreading; `vgctl status` shows who holds it"
                   : "ask again, or another VM's keeper with --server";
    case error_code::unavailable:
    case error_code::draining:
        return failure.ran == run_state::in_doubt
                   ? "the outcome is not known: get the object and look before you apply again"
                   : "nothing was changed; ask another VM's keeper with --server, or wait for the store "
                     "(`vgctl status`)";
    default:
        break;
    }
    return failure.ran == run_state::in_doubt
               ? "the outcome is not known: get the object and look before you apply again"
               : "see docs/errors.md for the code";
}

int exit_code(const error& failure)
{
    if (failure.code == error_code::conflict) {
        return exit_conflict;
    }
    return failure.ran == run_state::in_doubt ? exit_in_doubt : node::exit_failure;
}

} // namespace vanillagauge::ctl
