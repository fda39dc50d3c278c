/// Mutated copies of valid input: bytes replaced, removed, inserted or repeated, or the end cut off.
#ifndef VANILLAGAUGE_FUZZING_MUTATION_HPP
#define VANILLAGAUGE_FUZZING_MUTATION_HPP

#include <rapidcheck.h>

#include <string>

namespace vanillagauge::fuzzing {

inline void mutate_once(std::string& text)
{
    if (text.empty()) {
        return;
    }
    const auto offset = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto byte = static_cast<char>(*rc::gen::inRange(0, 256));
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        text[offset] = byte;
        break;
    case 1:
        text.erase(offset, 1);
        break;
    case 2:
        text.insert(offset, 1, byte);
        break;
    case 3:
        text.insert(offset, text.substr(offset, 16));
        break;
    default:
        text.resize(offset);
    }
}

/// Applies one to eight mutations.
inline std::string mutated(std::string valid)
{
    const auto times = *rc::gen::inRange(1, 9);
    for (int turn = 0; turn < times; ++turn) {
        mutate_once(valid);
    }
    return valid;
}

} // namespace vanillagauge::fuzzing

#endif
