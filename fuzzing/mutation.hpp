/// Damaged copies of valid input: bytes changed, dropped, doubled, or the end cut off.
#ifndef VANILLAGAUGE_FUZZING_MUTATION_HPP
#define VANILLAGAUGE_FUZZING_MUTATION_HPP

#include <rapidcheck.h>

#include <string>

namespace vanillagauge::fuzzing {

inline void damage_once(std::string& text)
{
    if (text.empty()) {
        return;
    }
    const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto byte = static_cast<char>(*rc::gen::inRange(0, 256));
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        text[place] = byte;
        break;
    case 1:
        text.erase(place, 1);
        break;
    case 2:
        text.insert(place, 1, byte);
        break;
    case 3:
        text.insert(place, text.substr(place, 16));
        break;
    default:
        text.resize(place);
    }
}

/// `valid` with one to eight damages.
inline std::string damaged(std::string valid)
{
    const auto times = *rc::gen::inRange(1, 9);
    for (int turn = 0; turn < times; ++turn) {
        damage_once(valid);
    }
    return valid;
}

} // namespace vanillagauge::fuzzing

#endif
