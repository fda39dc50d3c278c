#include "samples/samples.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::samples {
namespace {

TEST(cursor, survives_sealing_for_any_job_name_and_size)
{
    for (const std::size_t slots : {0U, 1U, 3U, 64U, 2048U}) {
        auto position = step_start("job.with.dots", 12, slots);
        for (std::size_t place = 0; place < slots; place += 3) {
            position.taken[place] = true;
        }
        const auto opened = open_cursor(seal(position, "secret"), "secret");
        ASSERT_TRUE(ok(opened)) << slots;
        EXPECT_EQ(value(opened), position);
    }
}

// A trainer with a faulty store, or somebody else, presents a cursor that names other slots. Taking it would
// skip samples or deliver them twice, so every changed character must be noticed.
TEST(cursor, with_any_character_changed_is_forged)
{
    const auto sealed = seal(step_start("job", 3, 8), "secret");
    for (std::size_t place = 0; place < sealed.size(); ++place) {
        auto changed = sealed;
        changed[place] = changed[place] == 'x' ? 'y' : 'x';
        const auto opened = open_cursor(changed, "secret");
        ASSERT_FALSE(ok(opened)) << place;
        EXPECT_EQ(failure(opened).code, error_code::forged_cursor);
    }
    EXPECT_FALSE(ok(open_cursor(sealed, "another")));
    EXPECT_FALSE(ok(open_cursor("", "secret")));
}

TEST(cursor, of_a_whole_step_stays_small)
{
    EXPECT_LT(seal(step_start("job", 1, 2048), "secret").size(), 1024U);
}

TEST(labels, keep_each_version_of_a_sample_that_saw_a_swap)
{
    labels seen;
    seen.add(3, 8);
    seen.add(3, 8);
    seen.add(4, 5);
    EXPECT_EQ(seen.spans(), (std::vector<version_span>{{3, 16}, {4, 5}}));
    EXPECT_EQ(seen.oldest(), 3U);
    EXPECT_FALSE(seen.unlabelled());
}

TEST(labels, with_one_unlabelled_chunk_are_void)
{
    labels seen;
    seen.add(3, 8);
    seen.add(0, 8);
    seen.add(3, 8);
    EXPECT_TRUE(seen.unlabelled());
}

TEST(staleness, is_judged_by_the_oldest_span)
{
    EXPECT_TRUE(fresh(3, 5, 2));
    EXPECT_FALSE(fresh(2, 5, 2));
}

} // namespace
} // namespace vanillagauge::samples
