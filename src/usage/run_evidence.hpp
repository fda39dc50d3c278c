/// Infers whether a replica began to run a request, from what the gateway saw.
#ifndef VANILLAGAUGE_USAGE_RUN_EVIDENCE_HPP
#define VANILLAGAUGE_USAGE_RUN_EVIDENCE_HPP

#include "base/base.hpp"

namespace vanillagauge::usage {

/// What is known at the end of an attempt at one replica.
struct run_evidence {
    bool sent = false;     ///< any byte of the request may have reached the replica
    bool answered = false; ///< the replica's response has arrived, at least its head
    bool refused = false;  ///< the replica states that it has not run the request
    bool closed = false;   ///< the replica closed the connection without a response
    bool reused_connection = false;
    duration since_sent{0}; ///< from the send to the end of the attempt
};

bool probably_ran(const run_evidence& seen);

} // namespace vanillagauge::usage

#endif
