/// Converts between the schema's claim messages and the types of the claims library.
#ifndef VANILLAGAUGE_ENTRY_CLAIM_WIRE_HPP
#define VANILLAGAUGE_ENTRY_CLAIM_WIRE_HPP

#include "claims/claims.hpp"

#include "vanillagauge.pb.h"

#include <string_view>

namespace vanillagauge::entry {

/// Hash of deployment, method and body. Request id, deadline and priority are left out: they may differ when
/// a caller repeats a request.
std::uint64_t request_fingerprint(const v1::CallRequest& request);

/// Serializes an answer for the claims library, and restores it with the request id of the repeated call.
claims::outcome to_outcome(const result<v1::CallReply>& answer);
result<v1::CallReply> to_answer(const claims::call_reply& verdict, const std::string& request_id);

v1::ClaimVerdict to_verdict(const std::string& key, const result<v1::CallReply>& answer);
/// `pair_unavailable` where the peer could not decide; `incomplete` where the verdict is for another key or
/// request, or the body does not match its digest.
result<v1::CallReply> from_verdict(const v1::ClaimVerdict& verdict, const v1::CallRequest& request);

/// A claim message has no answer; a settled message has one.
v1::ClaimRecord claim_message(const std::string& key, std::uint64_t fingerprint);
v1::ClaimRecord settled_message(const claims::settled_record& record);
bool is_settled(const v1::ClaimRecord& message);
result<claims::settled_record> from_message(const v1::ClaimRecord& message);

std::string format_key(const claims::call_key& key);
/// Parses the pair of a key prefix, or a formatted pair.
result<claims::claim_pair> parse_pair(const std::string& text);
/// `invalid_argument` where the text is not a hexadecimal fingerprint.
result<std::uint64_t> parse_fingerprint(const std::string& text);

std::string_view name(claims::record_status verdict);
/// The refusal for a claim that the backup did not record.
claims::refusal refusal_of(const v1::ClaimReply& reply);

} // namespace vanillagauge::entry

#endif
