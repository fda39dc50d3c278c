#include "entry/claim_wire.hpp"

#include "base/digest.hpp"
#include "wire/codec.hpp"

#include <charconv>

namespace vanillagauge::entry {
namespace {

constexpr int settled_state = 1;
constexpr int hexadecimal = 16;

error invalid_reply(const char* what)
{
    return {error_code::incomplete, run_state::in_doubt, what};
}

} // namespace

std::uint64_t request_fingerprint(const v1::CallRequest& request)
{
    return hash64(request.body(), hash64(request.method(), hash64(request.deployment())));
}

claims::outcome to_outcome(const result<v1::CallReply>& answer)
{
    if (!ok(answer)) {
        return failure(answer);
    }
    return value(answer).SerializeAsString();
}

result<v1::CallReply> to_answer(const claims::call_reply& verdict, const std::string& request_id)
{
    if (!ok(verdict.answer)) {
        return failure(verdict.answer);
    }
    v1::CallReply reply;
    if (!reply.ParseFromString(value(verdict.answer))) {
        return error{error_code::incomplete, run_state::ran, "the stored answer cannot be parsed"};
    }
    reply.set_request_id(request_id);
    reply.set_repeated(verdict.repeated);
    return reply;
}

v1::ClaimVerdict to_verdict(const std::string& key, const result<v1::CallReply>& answer)
{
    v1::ClaimVerdict verdict;
    verdict.set_key(key);
    verdict.set_decided(true);
    if (ok(answer)) {
        *verdict.mutable_reply() = value(answer);
    }
    else {
        *verdict.mutable_error() = wire::to_message(failure(answer));
    }
    return verdict;
}

result<v1::CallReply> from_verdict(const v1::ClaimVerdict& verdict, const v1::CallRequest& request)
{
    if (verdict.key() != request.key()) {
        return invalid_reply("the peer's answer is for another key");
    }
    if (!verdict.decided()) {
        return claims::refusal_error(claims::refusal::pair_unavailable);
    }
    if (verdict.has_error()) {
        return wire::from_message(verdict.error());
    }
    if (verdict.reply().request_id() != request.request_id()) {
        return invalid_reply("the peer's answer is for another request");
    }
    if (verdict.reply().digest() != digest(verdict.reply().body())) {
        return invalid_reply("the peer's answer does not match its digest");
    }
    return verdict.reply();
}

v1::ClaimRecord claim_message(const std::string& key, std::uint64_t fingerprint)
{
    v1::ClaimRecord message;
    message.set_key(key);
    message.set_fingerprint(hex(fingerprint));
    return message;
}

v1::ClaimRecord settled_message(const claims::settled_record& record)
{
    auto message = claim_message(format_key(record.key), record.fingerprint);
    message.set_state(settled_state);
    if (!ok(record.answer)) {
        *message.mutable_error() = wire::to_message(failure(record.answer));
        return message;
    }
    if (!message.mutable_reply()->ParseFromString(value(record.answer))) {
        *message.mutable_error() = wire::to_message(claims::refusal_error(claims::refusal::answer_discarded));
    }
    return message;
}

bool is_settled(const v1::ClaimRecord& message)
{
    return message.state() == settled_state;
}

result<claims::settled_record> from_message(const v1::ClaimRecord& message)
{
    auto key = claims::parse_key(message.key());
    if (!ok(key)) {
        return failure(key);
    }
    const auto fingerprint = parse_fingerprint(message.fingerprint());
    if (!ok(fingerprint)) {
        return failure(fingerprint);
    }
    claims::outcome answer;
    if (message.has_error()) {
        answer = wire::from_message(message.error());
    }
    else {
        answer = message.reply().SerializeAsString();
    }
    return claims::settled_record{value(std::move(key)), value(fingerprint), std::move(answer)};
}

std::string format_key(const claims::call_key& key)
{
    return claims::format_pair(key.pair) + "~" + key.suffix;
}

result<claims::claim_pair> parse_pair(const std::string& text)
{
    const auto key = claims::parse_key(text + "~0~");
    if (!ok(key)) {
        return failure(key);
    }
    return value(key).pair;
}

result<std::uint64_t> parse_fingerprint(const std::string& text)
{
    std::uint64_t number = 0;
    const char* last = text.data() + text.size();
    const auto [end, broken] = std::from_chars(text.data(), last, number, hexadecimal);
    if (broken != std::errc{} || end != last) {
        return error{error_code::invalid_argument, run_state::not_run, "expected a hexadecimal fingerprint"};
    }
    return number;
}

std::string_view name(claims::record_status verdict)
{
    switch (verdict) {
    case claims::record_status::recorded:
        return "recorded";
    case claims::record_status::closed:
        return "closed";
    case claims::record_status::expired:
        return "expired";
    case claims::record_status::full:
        return "full";
    case claims::record_status::other_request:
        return "other_request";
    }
    return "unknown";
}

claims::refusal refusal_of(const v1::ClaimReply& reply)
{
    if (reply.closed()) {
        return claims::refusal::pair_closed;
    }
    if (reply.reason() == name(claims::record_status::expired)) {
        return claims::refusal::expired_before_run;
    }
    if (reply.reason() == name(claims::record_status::full)) {
        return claims::refusal::full;
    }
    return claims::refusal::backup_unreachable;
}

} // namespace vanillagauge::entry
