#include "claims/claims.hpp"
#include "config/config.hpp"
#include "mutation.hpp"
#include "samples/samples.hpp"
#include "wire/wire.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

// Mutated input of clients and operators: each parser must return a value or a typed error. Under the
// sanitizers the same tests catch reads out of bounds.

namespace vanillagauge {
namespace {

const std::string valid_settings = R"({
  "vm": "vm-1", "failure_domain": "piraeus", "platform": "127.0.0.1:7000", "http_threads": 4,
  "tokens": {"caller": "12345678", "trainer": "12345678", "operator": "12345678", "peer": "12345678"},
  "keeper": {"address": "127.0.0.1:7101", "seeds": ["127.0.0.1:7101"]},
  "entry": {"http_listen": "127.0.0.1:0"}
})";

RC_GTEST_PROP(settings_text, mutated_settings_parse_or_name_the_file, ())
{
    const auto parsed = config::parse_settings(fuzzing::mutated(valid_settings), "vm.json");
    if (ok(parsed)) {
        RC_ASSERT(!value(parsed).vm.empty());
        RC_ASSERT(value(parsed).http_threads >= 2 && value(parsed).http_threads <= 64);
    }
    else {
        RC_ASSERT(failure(parsed).code == error_code::invalid_argument);
        RC_ASSERT(failure(parsed).detail.starts_with("vm.json: "));
        RC_ASSERT(failure(parsed).detail.find("expected") != std::string::npos);
    }
}

RC_GTEST_PROP(call_key_text, formatted_key_parses_to_its_pair, ())
{
    const claims::claim_pair pair{{"aph-1", *rc::gen::arbitrary<std::uint64_t>()},
                                  {"aph-2", *rc::gen::arbitrary<std::uint64_t>()}};
    const auto expires = *rc::gen::inRange<std::int64_t>(0, 4000000000000);
    const auto prefix = claims::format_prefix(pair, expires, *rc::gen::arbitrary<std::uint64_t>());
    const auto parsed = claims::parse_key(prefix + "s1");
    RC_ASSERT(ok(parsed));
    RC_ASSERT(value(parsed).pair == pair);
    RC_ASSERT(value(parsed).expires_ms == expires);
}

RC_GTEST_PROP(call_key_text, mutated_key_parses_or_fails_as_not_run, ())
{
    const auto prefix = claims::format_prefix({{"aph-1", 17}, {"aph-2", 18}}, 1700000000000, 99);
    const auto parsed = claims::parse_key(fuzzing::mutated(prefix + "s1"));
    if (!ok(parsed)) {
        RC_ASSERT(failure(parsed).code == error_code::invalid_argument);
        RC_ASSERT(failure(parsed).ran == run_state::not_run);
    }
}

/// A trainer's cursor is the only record of its samples: accepting a damaged one would skip or repeat some.
RC_GTEST_PROP(cursor_text, mutated_cursor_never_yields_another_position, ())
{
    samples::cursor position = samples::empty_cursor("reply-tuning", 3, 24);
    for (std::size_t slot = 0; slot < position.taken.size(); ++slot) {
        position.taken[slot] = *rc::gen::arbitrary<bool>();
    }
    const auto opened =
        samples::decode_cursor(fuzzing::mutated(samples::encode_cursor(position, "secret")), "secret");
    if (ok(opened)) {
        RC_ASSERT(value(opened) == position);
    }
    else {
        RC_ASSERT(failure(opened).code == error_code::forged_cursor);
    }
}

std::string stream_of(wire::codec encoding, const std::vector<std::string>& payloads)
{
    std::string bytes;
    for (const auto& payload : payloads) {
        bytes += wire::frame(encoding, payload);
    }
    return bytes;
}

/// A socket may split the bytes anywhere; the frames must not depend on it.
RC_GTEST_PROP(frames, split_reads_keep_payloads_and_order, ())
{
    const auto encoding = *rc::gen::element(wire::codec::json, wire::codec::protobuf);
    const auto payloads = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z')));
    const auto bytes = stream_of(encoding, payloads);
    wire::frame_reader reader(encoding);
    std::vector<std::string> received;
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 8);
        const auto fed =
            reader.feed(std::string_view(bytes).substr(offset, size),
                        [&received](std::string_view payload) { received.emplace_back(payload); });
        RC_ASSERT(ok(fed));
        offset += size;
    }
    RC_ASSERT(reader.at_boundary());
    RC_ASSERT(received == payloads);
}

RC_GTEST_PROP(frames, mutated_stream_yields_only_its_own_bytes, ())
{
    const auto encoding = *rc::gen::element(wire::codec::json, wire::codec::protobuf);
    const auto bytes = fuzzing::mutated(stream_of(encoding, {"one", R"({"a": 1})", "three"}) +
                                        wire::error_frame(encoding, {error_code::unavailable}));
    wire::frame_reader reader(encoding);
    std::vector<std::string> received;
    const auto fed =
        reader.feed(bytes, [&received](std::string_view payload) { received.emplace_back(payload); });
    for (const auto& payload : received) {
        RC_ASSERT(bytes.find(payload) != std::string::npos);
    }
    RC_CLASSIFY(!ok(fed));
}

} // namespace
} // namespace vanillagauge
