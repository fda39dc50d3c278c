#include "json/parse.hpp"

#include "json/internal/bounded_builder.hpp"
#include "json/internal/text_repair.hpp"

#include <algorithm>
#include <utility>

namespace vanillagauge {

using nlohmann::json;

namespace {

struct bounded_document {
    json document;
    bool too_large = false; ///< discarded since it takes too much memory
};

bounded_document parse_within(std::string_view text, std::size_t max_depth, std::size_t max_memory,
                              const std::vector<json_member>& wanted = {})
{
    internal::bounded_builder builder(max_depth, max_memory, wanted);
    if (!json::sax_parse(text.begin(), text.end(), &builder)) {
        return {json(json::value_t::discarded), builder.is_too_large()};
    }
    return {builder.take()};
}

} // namespace

json parse_json(std::string_view text, std::size_t max_depth, const std::vector<json_member>& wanted)
{
    return parse_within(text, max_depth, max_json_memory(text.size()), wanted).document;
}

// A list that one process reads in parts, or with white space, costs more for each byte once it is sent on
// whole and compact. A peer that refused it would refuse all else in that message with it. No text takes as
// much as the bound, so it only stops a miscount.
json parse_peer_json(std::string_view text)
{
    constexpr std::size_t most_memory_per_byte = 64;
    return parse_within(text, max_json_depth, std::max(min_json_memory, text.size() * most_memory_per_byte))
        .document;
}

// Further passes only where the first fails: usable documents cost no more than they did. Dense parts are
// kept in a document that stays within its memory.
repaired_json parse_repaired_json(std::string_view text, std::size_t max_depth)
{
    const auto max_memory = max_json_memory(text.size());
    repaired_json read;
    auto parsed = parse_within(text, max_depth, max_memory);
    for (const auto dense : {internal::dense_parts::kept, internal::dense_parts::replaced}) {
        const bool may_help = parsed.too_large == (dense == internal::dense_parts::replaced);
        if (parsed.document.is_discarded() && may_help) {
            auto repaired = internal::text_repair(text, max_depth, dense).run();
            parsed = parse_within(repaired.text, max_depth, max_memory);
            read.replaced = repaired.replaced;
            read.replaced_at = std::move(repaired.replaced_at);
        }
    }
    read.document = std::move(parsed.document);
    return read;
}

} // namespace vanillagauge
