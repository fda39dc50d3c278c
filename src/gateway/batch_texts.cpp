#include "gateway/batch_texts.hpp"

#include "gateway/untrusted_json.hpp"

#include <algorithm>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// Fewer events are regenerated as fast as they are read back.
constexpr std::size_t min_events = 10;

/// Well below the store's limit for one value.
constexpr std::size_t max_bytes = 600U << 10U;

saved_text text_from_json(const json& from)
{
    saved_text text;
    text.id = from.at("id").get<std::string>();
    text.text = from.at("text").get<std::string>();
    text.events = integer_at<std::size_t>(from, "events");
    if (const auto last = from.find("last"); last != from.end()) {
        text.last_event = to_integer<std::uint64_t>(*last);
    }
    const auto versions = integers_at<std::uint64_t>(from, "versions");
    text.versions = {versions.begin(), versions.end()};
    text.complete = from.at("whole").get<bool>();
    return text;
}

json to_json(const saved_text& text)
{
    json to{{"id", text.id},
            {"text", text.text},
            {"events", text.events},
            {"versions", text.versions},
            {"whole", text.complete}};
    if (text.last_event) {
        to["last"] = *text.last_event;
    }
    return to;
}

} // namespace

std::vector<saved_text> texts_to_save(const batch_progress& progress)
{
    std::vector<saved_text> texts;
    for (std::size_t index = 0; index < progress.items().size(); ++index) {
        auto text = progress.text_to_save(index);
        if (text && text->events >= min_events) {
            texts.push_back(std::move(*text));
        }
    }
    std::sort(texts.begin(), texts.end(),
              [](const saved_text& left, const saved_text& right) { return left.events > right.events; });
    std::size_t bytes = 0;
    const auto too_much = std::find_if(texts.begin(), texts.end(), [&bytes](const saved_text& text) {
        bytes += text.text.size() + text.id.size();
        return bytes > max_bytes;
    });
    texts.erase(too_much, texts.end());
    return texts;
}

json to_json(const std::vector<saved_text>& texts)
{
    json list = json::array();
    for (const auto& text : texts) {
        list.push_back(to_json(text));
    }
    return {{"texts", std::move(list)}};
}

result<std::vector<saved_text>> texts_from_json(const json& value)
{
    const error unreadable{error_code::invalid_argument, run_state::not_run,
                           "cannot decode the saved texts of a batch"};
    return decode<std::vector<saved_text>>(value, unreadable,
                                           [](const json& from) -> result<std::vector<saved_text>> {
                                               std::vector<saved_text> texts;
                                               for (const auto& entry : from.at("texts")) {
                                                   texts.push_back(text_from_json(entry));
                                               }
                                               return texts;
                                           });
}

net::task_of<done> text_store::save(std::vector<saved_text> texts)
{
    auto saved = to_json(texts);
    result<stored_object> written = error{};
    if (revision_ == 0) {
        written = co_await store_.create(text_kind, batch_, std::move(saved));
    }
    else {
        written = co_await store_.replace(text_kind, batch_, std::move(saved), revision_);
    }
    if (ok(written)) {
        revision_ = value(written).revision;
        co_return done{};
    }
    // An earlier write took effect after all, or another owner saved its texts: the next save replaces them.
    if (failure(written).code == error_code::conflict) {
        const auto existing = co_await store_.read(text_kind, batch_);
        revision_ = ok(existing) ? value(existing).revision : 0;
    }
    co_return failure(written);
}

net::task_of<std::vector<saved_text>> text_store::load()
{
    const auto stored = co_await store_.read(text_kind, batch_);
    if (!ok(stored)) {
        co_return failure(stored);
    }
    revision_ = value(stored).revision;
    co_return texts_from_json(value(stored).value);
}

} // namespace vanillagauge::gateway
