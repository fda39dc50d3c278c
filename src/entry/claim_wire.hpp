/// Between the schema's claim messages and the types of the claims library.
#ifndef VANILLAGAUGE_ENTRY_CLAIM_WIRE_HPP
#define VANILLAGAUGE_ENTRY_CLAIM_WIRE_HPP

#include "claims/claims.hpp"

#include "vanillagauge.pb.h"

#include <string_view>

namespace vanillagauge::entry {

/// What makes a repeat the same request: deployment, method and body. A caller's repeat may carry another
/// request id, deadline or priority.
std::uint64_t request_fingerprint(const v1::CallRequest& request);

/// An answer as the claims library keeps it, and back for one asker with its own request id.
claims::outcome to_outcome(const result<v1::CallReply>& answer);
result<v1::CallReply> to_answer(const claims::call_reply& verdict, const std::string& request_id);

v1::ClaimVerdict to_verdict(const std::string& key, const result<v1::CallReply>& answer);
/// `pair_unavailable` where the process asked cannot tell; `incomplete` where the verdict is of another key.
result<v1::CallReply> from_verdict(const v1::ClaimVerdict& verdict, const v1::CallRequest& request);

/// Claims have no answer yet; settled records have one.
v1::ClaimRecord claim_message(const std::string& key, std::uint64_t fingerprint);
v1::ClaimRecord settled_message(const claims::settled_record& record);
bool is_settled(const v1::ClaimRecord& message);
result<claims::settled_record> from_message(const v1::ClaimRecord& message);

std::string format_key(const claims::call_key& key);
/// The pair of a key prefix or pair text.
result<claims::claim_pair> parse_pair(const std::string& text);
/// `invalid_argument` where the text is no fingerprint.
result<std::uint64_t> parse_fingerprint(const std::string& text);

std::string_view name(claims::record_status verdict);
/// Why the primary refuses a claim that its backup did not record.
claims::refusal refusal_of(const v1::ClaimReply& reply);

} // namespace vanillagauge::entry

#endif
