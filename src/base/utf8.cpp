#include "base/utf8.hpp"

#include <boost/locale/utf.hpp>

namespace vanillagauge {

bool is_utf8(std::string_view text)
{
    namespace utf = boost::locale::utf;
    auto next = text.begin();
    while (next != text.end()) {
        const auto point = utf::utf_traits<char>::decode(next, text.end());
        if (point == utf::illegal || point == utf::incomplete) {
            return false;
        }
    }
    return true;
}

} // namespace vanillagauge
