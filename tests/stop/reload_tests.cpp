#include "tests/gateway/deployment.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace vanillagauge::gateway {
namespace {

constexpr milliseconds max_apply_time{2000};
/// Raises the new store's revision above the old store's.
constexpr int earlier_changes = 50;

class reloaded_gateway : public testing::Test {
protected:
    deployment world;
    wire::event_loop loop;
    standins::fake_store old_store{loop.context()};
    std::string file = testing::TempDir() + "reload_tests.json";

    void TearDown() override
    {
        loop.stop();
        std::remove(file.c_str());
    }

    void write_settings(const std::string& store)
    {
        nlohmann::json settings{{"vm", "a"}, {"failure_domain", "z1"}, {"platform", store}};
        settings["gateway"] = {{"front_listen", "127.0.0.1:0"}, {"relay_listen", "127.0.0.1:0"}};
        settings["tokens"] = {{"caller", "caller-token"},
                              {"trainer", "trainer-token"},
                              {"operator", "operator-token"},
                              {"peer", "gateway-peers"}};
        settings["keeper"] = {
            {"address", "127.0.0.1:0"}, {"peer_listen", "127.0.0.1:0"}, {"seeds", nlohmann::json::array()}};
        std::ofstream(file) << settings;
    }

    static std::uint64_t version_at(platform::gateway_program& program)
    {
        return program.run_on_loop<std::uint64_t>(
            [](gateway& served) { return served.current_configuration().version; });
    }
};

// Guards against a gateway that keeps waiting on a watch of the old store.
TEST_F(reloaded_gateway, watches_new_store_at_once)
{
    const auto address_before = value(old_store.open());
    const auto first = world.inspect_store<nlohmann::json>(
        [](standins::fake_store& store) { return store.find("config", "main")["Specification"]; });
    loop.run_and_wait([&] { old_store.put("config", "main", first); });
    write_settings(address_before);
    const auto settings = config::load_settings(file);
    ASSERT_TRUE(ok(settings)) << describe(failure(settings));
    platform::gateway_program program(value(settings));
    ASSERT_TRUE(ok(program.open()));
    ASSERT_TRUE(deployment::eventually([&] { return version_at(program) == 1; }));
    std::this_thread::sleep_for(milliseconds(800)); // until it watches the store

    world.modify_store([](standins::fake_store& store) {
        for (int change = 0; change < earlier_changes; ++change) {
            store.put("things", "x", change);
        }
    });
    world.put_configuration(2);
    write_settings(world.store_address());
    program.reload();
    const auto began = steady::now();
    EXPECT_TRUE(deployment::eventually([&] { return version_at(program) == 2; }));
    EXPECT_LT(steady::now() - began, max_apply_time);
    program.kill();
}

} // namespace
} // namespace vanillagauge::gateway
