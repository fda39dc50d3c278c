// Entries with drawn odd texts, as other writers may leave them.
#include "platform/object_decoding.hpp"
#include "raw_store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanillagauge::platform {
namespace {

/// A value's text: sound, of another type, out of range, too deep or no text.
std::string drawn_value()
{
    static const std::vector<std::string> texts{"null",
                                                "true",
                                                "0",
                                                "-1",
                                                "7",
                                                "1.5",
                                                "1e300",
                                                "-1e300",
                                                "1e999",
                                                "-1e999",
                                                "18446744073709551615",
                                                "18446744073709551616",
                                                R"("")",
                                                R"("x")",
                                                R"("ready")",
                                                R"("10.0.0.1:80")",
                                                R"("10.0.0.1:70000")",
                                                R"("\ud800")",
                                                "\"\xff\"",
                                                R"("a\u0000b")",
                                                "{}",
                                                "[]",
                                                R"([{"Name":"m","Version":3}])",
                                                R"([{"Name":"m","Version":1e999}])",
                                                std::string(100, '[') + std::string(100, ']'),
                                                std::string(100000, '[') + std::string(100000, ']'),
                                                "\"" + std::string(5000, 'x') + "\""};
    return *rc::gen::elementOf(texts);
}

std::string drawn_specification()
{
    if (*rc::gen::inRange(0, 8) == 0) {
        return drawn_value();
    }
    std::map<std::string, std::string> fields{
        {"Service", R"("s")"},   {"Address", R"("10.0.0.1:80")"}, {"Zone", R"("z")"}, {"Slots", "4"},
        {"State", R"("ready")"}, {"born", "1700000000000"},       {"Models", "[]"}};
    const auto changes = *rc::gen::inRange(0, 4);
    for (int change = 0; change < changes; ++change) {
        const auto field = *rc::gen::element<std::string>("Service", "Address", "Zone", "Slots", "State",
                                                          "born", "Models", "Unknown");
        fields[field] = drawn_value();
    }
    std::string text;
    for (const auto& [field, value] : fields) {
        text += (text.empty() ? "{\"" : ",\"") + field + "\":" + value;
    }
    return text + "}";
}

std::string drawn_object()
{
    const auto shape = *rc::gen::inRange(0, 10);
    if (shape == 0) {
        return drawn_value();
    }
    const auto metadata = shape == 1
                              ? drawn_value()
                              : R"({"Name":"odd","Revision":)" + (shape == 2 ? drawn_value() : "8") + "}";
    return R"({"Metadata":)" + metadata + R"(,"Specification":)" + drawn_specification() + "}";
}

std::string sound_object(int number)
{
    return R"({"Metadata":{"Name":"sound-)" + std::to_string(number) +
           R"(","Revision":9},"Specification":{"Service":"s","Address":"10.0.0.1:80","State":"ready"}})";
}

/// Objects' texts, with the number of sound ones among them.
std::pair<std::vector<std::string>, int> drawn_objects()
{
    std::vector<std::string> texts;
    int sound = 0;
    const auto count = *rc::gen::inRange<std::size_t>(1, 6);
    texts.reserve(count);
    for (std::size_t drawn = 0; drawn < count; ++drawn) {
        texts.push_back(*rc::gen::arbitrary<bool>() ? sound_object(sound++) : drawn_object());
    }
    return {texts, sound};
}

std::string joined(const std::vector<std::string>& texts, const std::string& before, const std::string& after)
{
    std::string all;
    for (const auto& text : texts) {
        all += (all.empty() ? "" : ",") + before + text + after;
    }
    return all;
}

/// Counts the sound ones among the objects, each of which must be usable.
int usable_sound(const std::vector<gateway::stored_object>& objects)
{
    int found = 0;
    for (const auto& object : objects) {
        const auto replica = to_replica(object);
        if (object.name.starts_with("sound-")) {
            RC_ASSERT(ok(replica));
            RC_ASSERT(value(replica).id == "sound-" + std::to_string(found));
            ++found;
        }
        else if (ok(replica)) {
            RC_ASSERT(value(replica).slots >= 1);
        }
    }
    return found;
}

// Guards against an odd entry that ends the reader, or hides a sound one of the same answer.
RC_GTEST_PROP(odd_entries, sound_siblings_survive, ())
{
    static raw_store store;
    const auto [texts, sound] = drawn_objects();
    store.body = R"({"Items":[)" + joined(texts, "", "") + R"(],"HasMore":false,"AsOf":20})";
    const auto listed = store.list();
    RC_ASSERT(ok(listed));
    RC_ASSERT(usable_sound(value(listed).objects) == sound);
    RC_ASSERT(value(listed).objects.size() + value(listed).left_out == texts.size());
    store.body =
        R"({"events":[)" + joined(texts, R"({"Object":)", R"(,"Removed":false})") + R"(],"AsOf":20})";
    const auto seen = store.watch(5);
    RC_ASSERT(ok(seen));
    std::vector<gateway::stored_object> changed;
    for (const auto& event : value(seen).events) {
        changed.push_back(event.object);
    }
    RC_ASSERT(usable_sound(changed) == sound);
}

} // namespace
} // namespace vanillagauge::platform
