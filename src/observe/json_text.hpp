/// JSON string quoting.
#ifndef VANILLAGAUGE_OBSERVE_JSON_TEXT_HPP
#define VANILLAGAUGE_OBSERVE_JSON_TEXT_HPP

#include <string>
#include <string_view>

namespace vanillagauge::observe {

/// The text in double quotes, escaped; bytes that are not UTF-8 are replaced.
std::string json_text(std::string_view text);

} // namespace vanillagauge::observe

#endif
