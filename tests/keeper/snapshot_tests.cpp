#include "keeper/keeper_state.hpp"
#include "keeper/snapshot.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace vanillagauge::keeper {
namespace {

class snapshot_file : public testing::Test {
public:
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("snapshot-test-" + std::to_string(::getpid()));
    std::string path = (folder / "keeper" / "snapshot").string();

    ~snapshot_file() override { std::filesystem::remove_all(folder); }
};

snapshot example()
{
    return {{{"job", "a", 5, "{\"x\":1}", false}, {"job", "b", 6, "{}", true}}, {"127.0.0.1:7000"}};
}

TEST_F(snapshot_file, replaced_file_reads_back_unchanged)
{
    ASSERT_TRUE(ok(write_snapshot(path, {})));
    ASSERT_TRUE(ok(write_snapshot(path, example())));
    const auto found = read_snapshot(path);
    ASSERT_TRUE(ok(found));
    ASSERT_EQ(value(found).objects.size(), 2U);
    EXPECT_EQ(value(found).objects[0].spec_json, "{\"x\":1}");
    EXPECT_TRUE(value(found).objects[1].deleted);
    EXPECT_EQ(value(found).peer_addresses, example().peer_addresses);
}

TEST_F(snapshot_file, missing_file_is_not_found)
{
    EXPECT_EQ(failure(read_snapshot(path)).code, error_code::not_found);
}

// Power loss during a write leaves a partial temporary file; the previous snapshot must stay readable.
TEST_F(snapshot_file, partial_temp_file_keeps_the_old_snapshot)
{
    ASSERT_TRUE(ok(write_snapshot(path, example())));
    std::ofstream(path + ".draft") << encode(example()).substr(0, 20);
    EXPECT_TRUE(ok(read_snapshot(path)));
}

// Loading part of a damaged snapshot would apply a configuration that nobody accepted.
TEST(snapshot, rejects_truncated_or_changed_bytes)
{
    const auto whole = encode(example());
    ASSERT_TRUE(ok(decode(whole)));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_FALSE(ok(decode(whole.substr(0, size)))) << size;
    }
    for (std::size_t index = 0; index < whole.size(); ++index) {
        auto changed = whole;
        changed[index] = static_cast<char>(changed[index] ^ 0x20);
        EXPECT_FALSE(ok(decode(changed))) << index;
    }
}

// A VM restarts with a snapshot older than the last change, which its peers already hold.
TEST(snapshot, an_old_one_is_never_trusted_over_a_higher_version)
{
    fleet::node self;
    self.vm = "a";
    keeper_state state(self, time_point{});
    state.merge_config({{"job", "a", 9, "new", false}, {"job", "b", 10, "new", false}});
    state.merge_config(example().objects);
    EXPECT_EQ(state.config_find("job", "a")->spec_json, "new");
    EXPECT_TRUE(state.config_find("job", "b")) << "deleted at 6, created again at 10";
}

} // namespace
} // namespace vanillagauge::keeper
