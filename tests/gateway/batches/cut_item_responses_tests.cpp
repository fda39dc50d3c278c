// Items of batches, and their scoring calls, whose replica ends its response after each of its bytes.
#include "batch_deployment.hpp"
#include "cut_replicas.hpp"

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;

constexpr int max_batches = 20;

const std::string scoring_prefix = "s-";

struct played_cut {
    planned_cut cut;
    std::string id; ///< of the item
    json result;
};

struct cut_item_responses : testing::Test {
    deployment all;
    cut_replicas engines{all, "lm"};
    cut_replicas scorers{all, "plain"};
    running_gateway& served = all.add_gateway("a");
    int batches = 0;
    int items = 10000;

    cut_item_responses()
    {
        EXPECT_TRUE(deployment::eventually([this] { return served.ready(); }));
    }

    std::map<std::string, json> results_of(const std::string& batch, std::size_t count)
    {
        std::map<std::string, json> results;
        EXPECT_TRUE(deployment::eventually([&] {
            const auto page = all.body_of(served.address(), make_read(batch, results.size()));
            for (const auto& entry :
                 page.is_object() ? page.value("Results", json::array()) : json::array()) {
                EXPECT_TRUE(results.emplace(entry.at("Id").get<std::string>(), entry).second);
            }
            return results.size() >= count;
        }));
        return results;
    }
    /// Runs a batch of items with these ids; returns the results by id.
    std::map<std::string, json> run_batch(const std::vector<std::string>& ids, bool scored)
    {
        const auto batch = "b" + std::to_string(++batches);
        auto request = make_batch(batch, 1, true);
        auto document = json::parse(request.body);
        const auto first = document["Items"][0];
        document["Items"] = json::array();
        for (const auto& id : ids) {
            auto item = first;
            item["Id"] = id;
            item["Group"] = "group-" + id;
            item["ScoringFunction"]["Id"] = scoring_prefix + id;
            item["ScoringFunction"]["Path"] = "/score/" + id;
            if (!scored) {
                item.erase("ScoringFunction");
            }
            document["Items"].push_back(std::move(item));
        }
        document["DesiredCount"] = ids.size();
        request.body = document.dump();
        EXPECT_EQ(all.status_of(served.address(), std::move(request)), 202);
        return results_of(batch, ids.size());
    }
    /// Runs items until each cut has been played.
    std::vector<played_cut> play(cut_replicas& replicas, std::vector<planned_cut> cuts)
    {
        const bool scored = &replicas == &scorers;
        std::vector<played_cut> played;
        for (int batch = 0; batch < max_batches && !cuts.empty(); ++batch) {
            std::vector<std::string> ids;
            for (const auto& cut : cuts) {
                ids.push_back("i" + std::to_string(++items));
                replicas.plan((scored ? scoring_prefix : "") + ids.back(), cut);
            }
            auto results = run_batch(ids, scored);
            std::vector<planned_cut> left;
            for (std::size_t index = 0; index < ids.size(); ++index) {
                const auto& id = ids[index];
                if (replicas.played((scored ? scoring_prefix : "") + id)) {
                    played.push_back({cuts[index], id, results[id]});
                }
                else {
                    left.push_back(cuts[index]);
                }
            }
            cuts = std::move(left);
        }
        EXPECT_TRUE(cuts.empty()) << "no request came on such a connection";
        return played;
    }
};

/// An id as long as all others.
const std::string some_id = "i10000";

std::string whole_item(framing how, const std::string& id)
{
    return response_text(how, replica_fields(id), events_after(id, 0));
}

/// Cuts of one response, `step` bytes apart.
std::vector<planned_cut> cuts_of(framing how, connection_end end, bool kept, std::size_t size,
                                 std::size_t step)
{
    std::vector<planned_cut> cuts;
    for (std::size_t bytes = 0; bytes < size; bytes += step) {
        cuts.push_back({how, end, bytes, kept});
    }
    return cuts;
}

/// The events of a response that ends with its connection and was sent to the end of an event; otherwise all.
std::string events_of(const played_cut& played)
{
    const auto whole = whole_item(played.cut.how, played.id);
    const auto head = whole.find("\r\n\r\n") + 4;
    const bool ends = played.cut.how == framing::connection && played.cut.end == connection_end::fin;
    if (ends && played.cut.bytes >= head) {
        auto sent = whole.substr(head, played.cut.bytes - head);
        if (sent.empty() || sent.ends_with("\n\n")) {
            return sent;
        }
    }
    return events_after(played.id, 0);
}

/// The text of an item of which the replica has sent these events.
std::string text_of(const std::string& id, const std::string& events)
{
    std::string text;
    for (int number = 1; events.find("id: " + std::to_string(number)) != std::string::npos; ++number) {
        text += (number > 1 ? "\n" : "") + id + "-" + std::to_string(number);
    }
    return text;
}

void expect_whole_texts(cut_item_responses& all, bool kept, std::size_t step)
{
    for (const auto how : {framing::length, framing::chunked, framing::connection}) {
        for (const auto end : {connection_end::fin, connection_end::reset}) {
            const auto size = whole_item(how, some_id).size();
            for (const auto& played : all.play(all.engines, cuts_of(how, end, kept, size, step))) {
                const auto events = events_of(played);
                EXPECT_EQ(played.result.value("State", ""), "completed");
                EXPECT_EQ(played.result.value("Text", "none"), text_of(played.id, events))
                    << "cut after byte " << played.cut.bytes;
                EXPECT_EQ(all.engines.runs(played.id), events == events_after(played.id, 0) ? 2 : 1);
            }
        }
    }
}

// Guards against a text that lacks events, or has some twice, after a response to the item was cut.
TEST_F(cut_item_responses, leave_no_gap_in_a_text)
{
    expect_whole_texts(*this, true, 1);
}

// Few cuts, as an engine whose new connection closes gets no items for half a second.
TEST_F(cut_item_responses, leave_no_gap_in_a_text_on_new_connections)
{
    engines.set_keeping(false);
    expect_whole_texts(*this, false, 41);
}

// Guards against a score taken from a response that was cut, or a part of one.
TEST_F(cut_item_responses, give_no_score)
{
    for (const auto how : {framing::length, framing::chunked, framing::connection}) {
        for (const auto end : {connection_end::fin, connection_end::reset}) {
            const auto id = scoring_prefix + some_id;
            const auto size = response_text(how, replica_fields(id), plain_body(id)).size();
            for (const auto& played : play(scorers, cuts_of(how, end, true, size, 1))) {
                EXPECT_EQ(played.result.value("State", ""), "completed");
                EXPECT_EQ(played.result.value("Score", ""), "stamp-of-" + scoring_prefix + played.id)
                    << "cut after byte " << played.cut.bytes;
            }
        }
    }
}

} // namespace
} // namespace vanillagauge::gateway
