/// Validation of text that comes from outside.
#ifndef VANILLAGAUGE_BASE_UTF8_HPP
#define VANILLAGAUGE_BASE_UTF8_HPP

#include <string_view>

namespace vanillagauge {

/// Whether the bytes are well-formed UTF-8: no overlong form, no surrogate, nothing beyond U+10FFFF.
bool is_utf8(std::string_view text);

} // namespace vanillagauge

#endif
