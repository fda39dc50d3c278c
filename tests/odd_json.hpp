/// JSON texts that readers must refuse or survive; for tests of several folders.
#ifndef VANILLAGAUGE_TESTS_ODD_JSON_HPP
#define VANILLAGAUGE_TESTS_ODD_JSON_HPP

#include <string>
#include <vector>

namespace vanillagauge {

/// Raw text: copying or writing a document of this depth ends the process.
inline std::string nested_arrays(std::size_t levels = 200'000)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/// JSON texts that are no count of 64 bits.
inline std::vector<std::string> odd_counts()
{
    return {"-1",
            "-9223372036854775808",
            "18446744073709551616",
            "1e300",
            "-1e300",
            "1e999",
            "true",
            "\"7\"",
            "\"\\ud800\"",
            "\"\xff\"",
            "[]",
            "{}",
            nested_arrays()};
}

inline std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace vanillagauge

#endif
