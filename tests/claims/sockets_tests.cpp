// Claim pairs between processes on real sockets, with a fake keeper that lists the processes.

#include "entry/claim_calls.hpp"
#include "entry/claim_peer_service.hpp"
#include "entry/claim_wire.hpp"
#include "wire/wire.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace vanillagauge::entry {
namespace {

constexpr milliseconds deadline_time{6000};
constexpr std::uint64_t first_incarnation = 7;
constexpr std::uint64_t later_incarnation = 8;

/// Returns the same list of entry processes to every program.
class fake_keeper final : public v1::KeeperLocal {
public:
    fake_keeper()
    {
        calls_.mount(*this, wire::role::peer);
        address_ = value(server_.open("127.0.0.1:0"));
    }

    void Follow(google::protobuf::RpcController* /*control*/, const v1::FollowRequest* /*request*/,
                v1::FollowReply* reply, google::protobuf::Closure* done) override
    {
        {
            const std::lock_guard lock(mutex_);
            for (const auto& [vm, address] : entries_) {
                auto* status = reply->add_nodes();
                status->set_state("alive");
                status->mutable_info()->set_vm(vm);
                auto* process = status->mutable_info()->add_processes();
                process->set_role("entry");
                process->set_peer_address(address);
            }
        }
        done->Run();
    }

    void set_entry(const std::string& vm, const std::string& peer_address)
    {
        const std::lock_guard lock(mutex_);
        entries_[vm] = peer_address;
    }

    std::size_t entry_count() const
    {
        const std::lock_guard lock(mutex_);
        return entries_.size();
    }

    const std::string& address() const { return address_; }

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::string> entries_;
    wire::event_loop loop_;
    wire::dispatcher calls_{wire::access_table{{{wire::role::peer, "peer"}}}};
    wire::peer_server server_{loop_, calls_};
    std::string address_;
};

config::settings settings_of(const std::string& vm, const std::string& keeper)
{
    config::settings all;
    all.vm = vm;
    all.tokens.peer = "peer";
    all.keeper.address = keeper;
    return all;
}

/// Counts the runs of each key over all processes.
struct target_log {
    std::mutex mutex;
    std::map<std::string, int> runs;

    int runs_of(const std::string& key)
    {
        const std::lock_guard lock(mutex);
        return runs[key];
    }

    claim_runner runner()
    {
        claim_runner made;
        made.refusal = [](const v1::CallRequest&) { return std::optional<error>{}; };
        made.run = [this](const v1::CallRequest& request, time_point, const observe::trace_context&,
                          const claim_runner::completion& on_done) {
            {
                const std::lock_guard lock(mutex);
                ++runs[request.key()];
            }
            v1::CallReply reply;
            reply.set_request_id(request.request_id());
            reply.set_body("paid");
            reply.set_digest(digest(reply.body()));
            on_done(reply);
        };
        return made;
    }
};

class entry_process {
public:
    entry_process(const std::string& vm, std::uint64_t incarnation, fake_keeper& keeper, target_log& log)
        : settings_(settings_of(vm, keeper.address())), keeper_(loop_, settings_),
          peers_(node::peer_channels(loop_)),
          calls_({vm, loop_, keeper_, peers_, "peer", metrics_, incarnation}, log.runner()), service_(calls_)
    {
        dispatcher_.mount(service_, wire::role::peer);
        peer_address_ = value(server_->open("127.0.0.1:0"));
        keeper.set_entry(vm, peer_address_);
        keeper_.follow({"entry", incarnation, "", peer_address_, false, 0});
    }

    ~entry_process()
    {
        keeper_.stop();
        server_.reset();
        loop_.stop();
    }

    /// Waits until the view of the process has that many nodes.
    void wait_for_peers(std::size_t processes) const
    {
        while (keeper_.current()->nodes.size() < processes) {
            std::this_thread::sleep_for(milliseconds{10});
        }
    }

    /// Waits until this process, as a backup, has the outcome of a call.
    void wait_for_outcome() const
    {
        while (metrics_.page().find("\nvg_entry_claims_settled_total ") == std::string::npos) {
            std::this_thread::sleep_for(milliseconds{1});
        }
    }

    result<v1::CallReply> call(const std::string& key, const std::string& request_id = "r1",
                               const std::string& body = "charge 5")
    {
        v1::CallRequest request;
        request.set_request_id(request_id);
        request.set_key(key);
        request.set_body(body);
        auto answered = std::make_shared<std::promise<result<v1::CallReply>>>();
        calls_.call(request, steady::now() + deadline_time, {},
                    [answered](result<v1::CallReply> answer) { answered->set_value(std::move(answer)); });
        return answered->get_future().get();
    }

    void stop_server() { server_.reset(); }
    claim_calls& calls() { return calls_; }

private:
    config::settings settings_;
    wire::event_loop loop_;
    node::keeper_link keeper_;
    node::channel_pool peers_;
    observe::metrics metrics_;
    claim_calls calls_;
    claim_peer_service service_;
    wire::dispatcher dispatcher_{wire::access_table{{{wire::role::peer, "peer"}}}};
    std::unique_ptr<wire::peer_server> server_ = std::make_unique<wire::peer_server>(loop_, dispatcher_);
    std::string peer_address_;
};

/// Accepts connections only into its backlog and never answers.
class unresponsive_process {
public:
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_{
        context_, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
};

std::string key_of(const std::string& suffix)
{
    const claims::claim_pair pair{{"primary", first_incarnation}, {"backup", first_incarnation}};
    return claims::format_prefix(pair, wall_milliseconds() + 60000, 1) + suffix;
}

struct cluster {
    fake_keeper keeper;
    target_log log;
    std::unique_ptr<entry_process> primary = start("primary", first_incarnation);
    std::unique_ptr<entry_process> backup = start("backup", first_incarnation);
    std::unique_ptr<entry_process> third = start("third", first_incarnation);

    cluster() { wait_for_views(); }

    std::unique_ptr<entry_process> start(const std::string& vm, std::uint64_t incarnation)
    {
        return std::make_unique<entry_process>(vm, incarnation, keeper, log);
    }

    void wait_for_views() const
    {
        for (const auto* process : {primary.get(), backup.get(), third.get()}) {
            if (process != nullptr) {
                process->wait_for_peers(keeper.entry_count());
            }
        }
    }
};

run_state run_state_of(const result<v1::CallReply>& answer)
{
    return ok(answer) ? run_state::ran : failure(answer).ran;
}

/// The primary sends the outcome to the backup after it has answered the caller, so a repeat may be in doubt
/// at first.
result<v1::CallReply> settled_repeat(entry_process& process, const std::string& key)
{
    auto answer = process.call(key, "r2");
    for (int tries = 0; tries < 500 && run_state_of(answer) == run_state::in_doubt; ++tries) {
        std::this_thread::sleep_for(milliseconds{10});
        answer = process.call(key, "r2");
    }
    return answer;
}

TEST(claims_on_sockets, a_call_runs_once_and_its_repeats_anywhere_get_the_same_answer)
{
    cluster all;
    const auto key = key_of("-a");
    const auto first = all.third->call(key, "r1");
    ASSERT_TRUE(ok(first)) << describe(failure(first));
    EXPECT_FALSE(value(first).repeated());
    for (auto* process : {all.primary.get(), all.backup.get(), all.third.get()}) {
        const auto again = process->call(key, "r2");
        ASSERT_TRUE(ok(again)) << describe(failure(again));
        EXPECT_TRUE(value(again).repeated());
        EXPECT_EQ(value(again).request_id(), "r2");
        EXPECT_EQ(value(again).body(), "paid");
    }
    EXPECT_EQ(all.log.runs_of(key), 1);
}

TEST(claims_on_sockets, another_request_under_the_key_is_refused_everywhere)
{
    cluster all;
    const auto key = key_of("-a");
    ASSERT_TRUE(ok(all.third->call(key)));
    for (auto* process : {all.primary.get(), all.third.get()}) {
        const auto other = process->call(key, "r2", "charge 9");
        ASSERT_FALSE(ok(other));
        EXPECT_EQ(failure(other).code, error_code::conflict);
    }
    EXPECT_EQ(all.log.runs_of(key), 1);
}

TEST(claims_on_sockets, a_missing_or_malformed_key_is_refused_as_not_run)
{
    cluster all;
    for (const std::string key : {"", "no key"}) {
        const auto answer = all.primary->call(key);
        ASSERT_FALSE(ok(answer));
        EXPECT_EQ(failure(answer).code, error_code::invalid_argument);
        EXPECT_EQ(failure(answer).ran, run_state::not_run);
    }
}

// The primary fails after one call. The backup answers a repeat from its records; a key that was never
// claimed is "not run", and stays so since the pair is closed.
TEST(claims_on_sockets, with_the_primary_dead_the_backup_answers_from_its_records)
{
    cluster all;
    const auto ran = key_of("-ran");
    const auto unseen = key_of("-unseen");
    ASSERT_TRUE(ok(all.primary->call(ran)));
    all.primary->stop_server();
    EXPECT_EQ(run_state_of(all.third->call(unseen)), run_state::not_run);
    EXPECT_EQ(run_state_of(settled_repeat(*all.third, ran)), run_state::ran);
    // The primary is only unreachable for its peers: it still accepts calls, but its claims are refused.
    EXPECT_EQ(run_state_of(all.primary->call(unseen)), run_state::not_run);
    EXPECT_EQ(all.log.runs_of(unseen), 0);
    EXPECT_EQ(all.log.runs_of(ran), 1);
}

TEST(claims_on_sockets, with_the_backup_dead_the_primary_runs_nothing_new)
{
    cluster all;
    all.backup->stop_server();
    const auto key = key_of("-a");
    EXPECT_EQ(run_state_of(all.primary->call(key)), run_state::not_run);
    EXPECT_EQ(run_state_of(all.third->call(key)), run_state::not_run);
    EXPECT_EQ(all.log.runs_of(key), 0);
}

TEST(claims_on_sockets, with_both_dead_a_call_is_in_doubt)
{
    cluster all;
    const auto key = key_of("-a");
    ASSERT_TRUE(ok(all.primary->call(key)));
    all.primary->stop_server();
    all.backup->stop_server();
    EXPECT_EQ(run_state_of(all.third->call(key)), run_state::in_doubt);
    EXPECT_EQ(all.log.runs_of(key), 1);
}

// Connections to the backup stay open without any data. The primary cannot know whether its claim was
// recorded, so it must refuse the key for good, long before the caller's deadline.
TEST(claims_on_sockets, with_an_unresponsive_backup_a_call_is_refused_as_not_run)
{
    cluster all;
    const unresponsive_process unresponsive;
    all.keeper.set_entry("backup", unresponsive.address());
    const auto key = key_of("-a");
    auto primary = all.start("primary", first_incarnation);
    primary->wait_for_peers(all.keeper.entry_count());
    const auto answer = primary->call(key);
    ASSERT_FALSE(ok(answer));
    EXPECT_EQ(failure(answer).ran, run_state::not_run);
    EXPECT_NE(failure(answer).code, error_code::deadline_exceeded);
    EXPECT_EQ(all.log.runs_of(key), 0);
}

// Connections to the primary stay open without any data. The backup must take over and answer within the
// caller's deadline.
TEST(claims_on_sockets, with_an_unresponsive_primary_the_backup_takes_over)
{
    cluster all;
    const auto key = key_of("-a");
    const unresponsive_process unresponsive;
    all.keeper.set_entry("primary", unresponsive.address());
    auto backup = all.start("backup", first_incarnation);
    backup->wait_for_peers(all.keeper.entry_count());
    const auto answer = backup->call(key);
    ASSERT_FALSE(ok(answer));
    EXPECT_EQ(failure(answer).ran, run_state::not_run);
    EXPECT_EQ(failure(answer).code, error_code::unavailable);
}

TEST(claims_on_sockets, a_restarted_primary_lets_its_backup_decide_on_older_keys)
{
    cluster all;
    const auto ran = key_of("-ran");
    const auto unseen = key_of("-unseen");
    ASSERT_TRUE(ok(all.primary->call(ran)));
    // The primary answers before it tells its backup; lost in between, the key is truly in doubt.
    all.backup->wait_for_outcome();
    all.primary = all.start("primary", later_incarnation);
    all.primary->wait_for_peers(all.keeper.entry_count());
    EXPECT_EQ(run_state_of(all.primary->call(unseen)), run_state::not_run);
    const auto again = settled_repeat(*all.primary, ran);
    ASSERT_TRUE(ok(again)) << describe(failure(again));
    EXPECT_TRUE(value(again).repeated());
    EXPECT_EQ(all.log.runs_of(ran), 1);
}

TEST(claims_on_sockets, with_both_restarted_an_older_key_is_in_doubt)
{
    cluster all;
    const auto key = key_of("-a");
    ASSERT_TRUE(ok(all.primary->call(key)));
    all.primary = all.start("primary", later_incarnation);
    all.backup = all.start("backup", later_incarnation);
    all.third = all.start("third", later_incarnation);
    all.wait_for_views();
    for (auto* process : {all.primary.get(), all.backup.get(), all.third.get()}) {
        EXPECT_EQ(run_state_of(process->call(key)), run_state::in_doubt);
    }
    EXPECT_EQ(all.log.runs_of(key), 1);
}

TEST(claims_on_sockets, a_planned_stop_hands_the_answers_to_the_backup)
{
    cluster all;
    const auto ran = key_of("-ran");
    const auto late = key_of("-late");
    ASSERT_TRUE(ok(all.primary->call(ran)));
    all.primary->calls().hand_over();
    EXPECT_EQ(run_state_of(all.primary->call(late)), run_state::not_run);
    all.primary.reset();
    EXPECT_EQ(run_state_of(all.third->call(ran, "r2")), run_state::ran);
    EXPECT_EQ(run_state_of(all.third->call(late)), run_state::not_run);
    EXPECT_EQ(all.log.runs_of(late), 0);
}

} // namespace
} // namespace vanillagauge::entry
