#include "rollout/scoring.hpp"

#include "wire/wire.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <list>
#include <optional>

namespace vanillagauge::rollout {
namespace {

enum class behaviour { scores, refuses, mismatches };

/// A scorer on a real socket that scores, refuses, or returns the score of another sample.
class scripted_scorer final : public target::v1::PlainService {
public:
    explicit scripted_scorer(behaviour mode) : mode_(mode)
    {
        calls_.mount(*this, wire::role::anyone);
        address_ = value(http_.open("127.0.0.1:0"));
    }

    ~scripted_scorer() override { http_.close(); }

    void Score(google::protobuf::RpcController* control, const target::v1::ScoreRequest* request,
               target::v1::ScoreReply* reply, google::protobuf::Closure* done) override
    {
        ++requests_;
        if (mode_ == behaviour::refuses) {
            wire::controller_of(control).fail(
                {error_code::unavailable, run_state::not_run, "refuses all requests"});
        }
        reply->set_sample_id(mode_ == behaviour::mismatches ? "another" : request->sample_id());
        reply->set_score(0.5);
        done->Run();
    }

    const std::string& address() const { return address_; }
    int requests() const { return requests_; }

private:
    const behaviour mode_;
    std::atomic<int> requests_{0};
    wire::dispatcher calls_{wire::access_table{}};
    wire::http_server http_{calls_, {}};
    std::string address_;
};

/// The context of scoring with scripted scorers. The first one is in the local failure domain, so it is tried
/// first.
struct scoring_fixture {
    config::settings settings;
    std::list<scripted_scorer> scorers;
    wire::event_loop loop;
    observe::metrics metrics;
    recorder records{"", "vm-1"};
    engine_directory engines;
    std::optional<node::keeper_link> keeper;
    node::channel_pool channels = node::http_channels(loop);
    node::target_directory directory{loop, {}};

    explicit scoring_fixture(std::initializer_list<behaviour> modes)
    {
        settings.failure_domain = "near";
        settings.keeper.address = "127.0.0.1:1";
        keeper.emplace(loop, settings);
        std::string list;
        for (const auto mode : modes) {
            const auto& scorer = scorers.emplace_back(mode);
            list += std::string(list.empty() ? "" : ",") + R"({"id":"s)" + std::to_string(scorers.size()) +
                    R"(","address":")" + scorer.address() + R"(","failure_domain":")" +
                    (scorers.size() == 1 ? "near" : "far") + R"("})";
        }
        node::view view;
        view.config.merge(
            {"deployment", "judge", 1, R"({"kind":"service","targets":[)" + list + "]}", false});
        directory.update(view);
    }

    ~scoring_fixture() { loop.stop(); }

    result<double> score(const std::string& deployment = "judge")
    {
        auto answered = std::make_shared<std::promise<result<double>>>();
        const context shared{settings, loop, *keeper, channels, directory, engines, metrics, records};
        std::make_shared<scoring>(
            shared, score_request{deployment, "job/0/0/0", "prompt", "text"},
            [answered](result<double> outcome) { answered->set_value(std::move(outcome)); })
            ->start();
        return answered->get_future().get();
    }
};

TEST(scoring, tries_another_scorer_after_a_refusal)
{
    scoring_fixture parts({behaviour::refuses, behaviour::scores});
    const auto score = parts.score();
    ASSERT_TRUE(ok(score)) << describe(failure(score));
    EXPECT_EQ(value(score), 0.5);
    EXPECT_EQ(parts.scorers.front().requests(), 1);
}

// A late reply for another sample would silently give the sample a wrong score; another scorer is tried
// instead.
TEST(scoring, rejects_the_score_of_another_sample)
{
    scoring_fixture parts({behaviour::mismatches, behaviour::scores});
    const auto score = parts.score();
    ASSERT_TRUE(ok(score)) << describe(failure(score));
    EXPECT_EQ(parts.scorers.front().requests(), 1);
    EXPECT_EQ(parts.scorers.back().requests(), 1);
}

// Every scorer fails: without a bound on the attempts the step would never complete.
TEST(scoring, fails_after_a_bounded_number_of_attempts)
{
    scoring_fixture parts({behaviour::refuses});
    const auto score = parts.score();
    ASSERT_FALSE(ok(score));
    EXPECT_EQ(failure(score).code, error_code::unavailable);
    EXPECT_EQ(parts.scorers.front().requests(), 4);
}

TEST(scoring, fails_where_there_is_no_scorer)
{
    scoring_fixture parts({});
    EXPECT_FALSE(ok(parts.score("nobody")));
}

} // namespace
} // namespace vanillagauge::rollout
