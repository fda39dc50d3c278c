/// The trainer's cursor: it names the slots of the current step that the trainer has taken, and is the only
/// ledger.
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
    std::vector<bool> taken; ///< by slot: group * group_size + index

    friend bool operator==(const cursor&, const cursor&) = default;
};

/// All slots of a step in one line of text, with a keyed hash over it.
std::string encode_cursor(const cursor& position, const std::string& secret);
/// `forged_cursor` where the hash does not fit or the text is no cursor.
result<cursor> decode_cursor(const std::string& text, const std::string& secret);

/// A cursor at the start of a step.
cursor empty_cursor(const std::string& job, std::int64_t step, std::size_t slots);
bool complete(const cursor& position);

} // namespace vanillagauge::samples

#endif
