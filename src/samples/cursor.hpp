/// The trainer's cursor: the slots of the current step that it has received. It is the only record of
/// deliveries.
#ifndef VANILLAGAUGE_SAMPLES_CURSOR_HPP
#define VANILLAGAUGE_SAMPLES_CURSOR_HPP

#include "base/base.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillagauge::samples {

struct cursor {
    std::string job;
    std::int64_t step = 0;
    std::vector<bool> taken; ///< by slot_key::index

    friend bool operator==(const cursor&, const cursor&) = default;
};

/// The cursor as text, signed with a keyed hash but not encrypted.
std::string encode_cursor(const cursor& position, const std::string& secret);
/// `forged_cursor` where the hash does not match or the text is malformed.
result<cursor> decode_cursor(const std::string& text, const std::string& secret);

/// The cursor of a step of which no slot has been taken.
cursor empty_cursor(const std::string& job, std::int64_t step, std::size_t slots);
bool complete(const cursor& position);

} // namespace vanillagauge::samples

#endif
