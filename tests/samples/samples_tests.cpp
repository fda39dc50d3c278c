#include "samples/samples.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::samples {
namespace {

TEST(cursor, is_decoded_unchanged_for_any_job_name_and_size)
{
    for (const std::size_t slots : {0U, 1U, 3U, 64U, 2048U}) {
        auto position = empty_cursor("job.with.dots", 12, slots);
        for (std::size_t index = 0; index < slots; index += 3) {
            position.taken[index] = true;
        }
        const auto opened = decode_cursor(encode_cursor(position, "secret"), "secret");
        ASSERT_TRUE(ok(opened)) << slots;
        EXPECT_EQ(value(opened), position);
    }
}

// A corrupted or forged cursor that passed would skip samples or deliver them twice.
TEST(cursor, is_rejected_with_any_character_changed)
{
    const auto sealed = encode_cursor(empty_cursor("job", 3, 8), "secret");
    for (std::size_t index = 0; index < sealed.size(); ++index) {
        auto changed = sealed;
        changed[index] = changed[index] == 'x' ? 'y' : 'x';
        const auto opened = decode_cursor(changed, "secret");
        ASSERT_FALSE(ok(opened)) << index;
        EXPECT_EQ(failure(opened).code, error_code::forged_cursor);
    }
    EXPECT_FALSE(ok(decode_cursor(sealed, "another")));
    EXPECT_FALSE(ok(decode_cursor("", "secret")));
}

TEST(cursor, of_a_large_step_stays_small)
{
    EXPECT_LT(encode_cursor(empty_cursor("job", 1, 2048), "secret").size(), 1024U);
}

TEST(version_spans, keep_each_version_of_a_sample_across_a_weight_swap)
{
    version_spans seen;
    seen.add(3, 8);
    seen.add(3, 8);
    seen.add(4, 5);
    EXPECT_EQ(seen.spans(), (std::vector<version_span>{{3, 16}, {4, 5}}));
    EXPECT_EQ(seen.oldest(), 3U);
    EXPECT_FALSE(seen.unversioned());
}

TEST(version_spans, report_one_unversioned_chunk)
{
    version_spans seen;
    seen.add(3, 8);
    seen.add(0, 8);
    seen.add(3, 8);
    EXPECT_TRUE(seen.unversioned());
}

TEST(staleness, is_bounded_by_the_oldest_span)
{
    EXPECT_TRUE(fresh(3, 5, 2));
    EXPECT_FALSE(fresh(2, 5, 2));
}

} // namespace
} // namespace vanillagauge::samples
