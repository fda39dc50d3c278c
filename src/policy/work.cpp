#include "policy/work.hpp"

namespace vanillagauge::policy {

priority parse_priority(std::string_view text)
{
    if (text == "gate") {
        return priority::gate;
    }
    return text == "batch" ? priority::batch : priority::member;
}

} // namespace vanillagauge::policy
