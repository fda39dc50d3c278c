// Reports of engines, and responses to orders of weights, that are cut.
#include "../../scripted_peer.hpp"
#include "deployment.hpp"

#include <gtest/gtest.h>

#include <mutex>

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;

const std::string json_field = "Content-Type: application/json\r\n";

/// An engine that cuts the response to its first report and to its first order, which it carries out.
class cut_engine {
public:
    cut_engine(deployment& all, std::string id, double part, connection_end end)
        : part_(part), end_(end), peer_([this](const scripted_request& request) { return respond(request); })
    {
        const json models = json::array({{{"Name", "m"}, {"Version", 1}, {"Adapters", json::array()}}});
        const json entry{
            {"Service", "lm"}, {"Address", peer_.address()}, {"Zone", "z1"},     {"Version", "v1"},
            {"Slots", 4},      {"State", "ready"},           {"Models", models}, {"Sequence", 1}};
        all.modify_store([&](standins::fake_store& store) { store.put("servers", id, entry); });
    }

    /// Whether it was ordered once to load the version and has reported it since.
    bool loaded_once()
    {
        const std::lock_guard lock(mutex_);
        return orders_ == 1 && loaded_reports_ > 0;
    }
    int orders()
    {
        const std::lock_guard lock(mutex_);
        return orders_;
    }

private:
    std::mutex mutex_;
    double part_; ///< of a response's bytes that it sends where it cuts one
    connection_end end_;
    int reports_ = 0;
    int loaded_reports_ = 0;
    int orders_ = 0;
    int version_ = 1;
    scripted_peer peer_;

    scripted_response respond(const scripted_request& request)
    {
        const std::lock_guard lock(mutex_);
        if (request.http.target() == "/api/order") {
            version_ = json::parse(request.http.body()).at("Version").get<int>();
            return cut_if(++orders_ == 1, response_text(framing::length, json_field, "{}"));
        }
        loaded_reports_ += orders_ > 0 ? 1 : 0;
        const json report{{"Models", json::array({{{"Name", "m"}, {"Version", version_}}})},
                          {"Busy", false},
                          {"Sequence", orders_}};
        return cut_if(++reports_ == 1, response_text(framing::length, json_field, report.dump()));
    }
    scripted_response cut_if(bool cut, const std::string& whole) const
    {
        if (!cut) {
            return {whole};
        }
        const auto sent = static_cast<double>(whole.size() - 1) * part_;
        return {whole.substr(0, static_cast<std::size_t>(sent)), end_};
    }
};

// Guards against an engine that is not brought to a version, or is ordered twice, after a cut report or a cut
// response to an order.
TEST(cut_engine_responses, change_nothing_but_the_time_of_a_load)
{
    deployment all;
    std::vector<std::unique_ptr<cut_engine>> engines;
    for (const double part : {0.0, 0.15, 0.4, 0.7, 1.0}) {
        for (const auto end : {connection_end::fin, connection_end::reset}) {
            const auto id = "e" + std::to_string(engines.size());
            engines.push_back(std::make_unique<cut_engine>(all, id, part, end));
        }
    }
    auto& served = all.add_gateway("a");
    EXPECT_TRUE(deployment::eventually([&] { return served.ready(); }));
    all.modify_store([](standins::fake_store& store) {
        store.put("versions", "m", {{"Model", "m"}, {"Version", 2}});
    });
    for (auto& engine : engines) {
        EXPECT_TRUE(deployment::eventually([&] { return engine->loaded_once(); }));
    }
    std::this_thread::sleep_for(seconds(2)); // longer than the wait before an order is repeated
    for (auto& engine : engines) {
        EXPECT_EQ(engine->orders(), 1);
    }
    all.gateways.clear();
}

} // namespace
} // namespace vanillagauge::gateway
