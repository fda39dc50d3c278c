#include "json/parse.hpp"

#include "json/internal/bounded_builder.hpp"
#include "json/internal/text_repair.hpp"

#include <utility>

namespace vanillagauge {

using nlohmann::json;

json parse_json(std::string_view text, std::size_t max_depth)
{
    internal::bounded_builder builder(max_depth);
    if (!json::sax_parse(text.begin(), text.end(), &builder)) {
        return json(json::value_t::discarded);
    }
    return builder.take();
}

// A second pass only where the first fails: usable documents cost no more than they did.
repaired_json parse_repaired_json(std::string_view text, std::size_t max_depth)
{
    repaired_json read;
    read.document = parse_json(text, max_depth);
    if (!read.document.is_discarded()) {
        return read;
    }
    auto repaired = internal::text_repair(text, max_depth).run();
    read.document = parse_json(repaired.text, max_depth);
    read.replaced = repaired.replaced;
    read.replaced_at = std::move(repaired.replaced_at);
    return read;
}

} // namespace vanillagauge
