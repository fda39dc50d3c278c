// Responses of the platform's store and of its calls that end after each of their bytes.
#include "../net/loopback.hpp"
#include "../scripted_peer.hpp"

#include "platform/platform_duties.hpp"
#include "platform/platform_store.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::platform {
namespace {

const std::string object =
    R"({"Metadata":{"Name":"a","Revision":12,"Created":3,"Finalizers":[],"Deleting":false},)"
    R"("Specification":{"n":12},"Status":{}})";
const std::string listing = R"({"Items":[)" + object + R"(],"HasMore":false,"AsOf":123})";
const std::string changes = R"({"events":[{"Object":)" + object + R"(,"Removed":false}],"AsOf":123})";

/// One call to a peer that sends only these bytes of its response; the error, or none.
using cut_call = std::function<net::task<std::optional<error>>(net::loop&, std::string)>;

template <class Value>
std::optional<error> error_of(const result<Value>& outcome)
{
    return ok(outcome) ? std::nullopt : std::optional{failure(outcome)};
}

/// Whether a response without length and chunks, ended by FIN after `sent` bytes, says all that the call
/// reads.
using sufficient = std::function<bool(const std::string& sent_body)>;

void expect_no_outcome_of_cut_responses(const cut_call& call, const std::string& body,
                                        const sufficient& says_all)
{
    net::loop_thread thread;
    for (const auto how : {framing::length, framing::chunked, framing::connection}) {
        const auto whole = response_text(how, "Content-Type: application/json\r\n", body);
        const auto head = whole.find("\r\n\r\n") + 4;
        for (const auto end : {connection_end::fin, connection_end::reset}) {
            for (std::size_t cut = 0; cut < whole.size(); ++cut) {
                scripted_peer peer([&](const scripted_request&) -> scripted_response {
                    return {whole.substr(0, cut), end};
                });
                const auto failed = thread.run(call(thread.context(), peer.address()));
                const bool ends = how == framing::connection && end == connection_end::fin && cut >= head;
                const bool told = ends && says_all(whole.substr(head, cut - head));
                ASSERT_EQ(failed.has_value(), !told) << whole.substr(0, cut);
                if (failed) {
                    EXPECT_EQ(failed->ran, run_state::in_doubt) << whole.substr(0, cut);
                }
            }
        }
    }
}

bool says_nothing(const std::string& /*sent*/)
{
    return false;
}

// Each guards against an outcome taken from a response whose head or body was cut.

TEST(cut_platform_response, gives_no_object)
{
    const auto read = [](net::loop& loop, std::string address) -> net::task<std::optional<error>> {
        platform_store store(loop, address);
        const auto outcome = co_await store.read("config", "main");
        co_return error_of(outcome);
    };
    expect_no_outcome_of_cut_responses(read, object, says_nothing);
}

TEST(cut_platform_response, gives_no_listing)
{
    const auto list = [](net::loop& loop, std::string address) -> net::task<std::optional<error>> {
        platform_store store(loop, address);
        const auto outcome = co_await store.list("config", {});
        co_return error_of(outcome);
    };
    expect_no_outcome_of_cut_responses(list, listing, says_nothing);
}

TEST(cut_platform_response, gives_no_changes)
{
    const auto watch = [](net::loop& loop, std::string address) -> net::task<std::optional<error>> {
        platform_store store(loop, address);
        const auto outcome = co_await store.watch("config", 1, milliseconds(100));
        co_return error_of(outcome);
    };
    expect_no_outcome_of_cut_responses(watch, changes, says_nothing);
}

TEST(cut_platform_response, leaves_a_write_in_doubt)
{
    const auto write = [](net::loop& loop, std::string address) -> net::task<std::optional<error>> {
        platform_store store(loop, address);
        const nlohmann::json value{{"n", 12}};
        const auto outcome = co_await store.replace("config", "main", value, 7);
        co_return error_of(outcome);
    };
    expect_no_outcome_of_cut_responses(write, object, says_nothing);
}

// The status alone acknowledges the call.
TEST(cut_platform_response, leaves_a_duty_in_doubt)
{
    const auto report = [](net::loop& loop, std::string address) -> net::task<std::optional<error>> {
        platform_duties duties(loop, std::move(address));
        const gateway::duty_caller caller{"vm", 4};
        const usage::counts runs{{"first", 2}};
        const auto outcome = co_await duties.report_usage(caller, 1, runs);
        co_return error_of(outcome);
    };
    expect_no_outcome_of_cut_responses(report, "{}", [](const std::string&) { return true; });
}

} // namespace
} // namespace vanillagauge::platform
