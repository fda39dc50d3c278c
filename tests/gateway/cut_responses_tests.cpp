// Callers' requests whose replica ends its response after each of its bytes.
#include "cut_replicas.hpp"
#include "response_checks.hpp"

namespace vanillagauge::gateway {
namespace {

constexpr int max_turns = 20;

/// A retry is earned by so many requests.
constexpr int requests_per_retry = 5;

/// Between two cuts of responses whose requests are retried; each case begins at another byte.
constexpr std::size_t stride = 7;

struct cut_case {
    framing how;
    connection_end end;
    bool kept;
};

std::string case_name(const testing::TestParamInfo<cut_case>& info)
{
    const auto& played = info.param;
    return name_of(played.how, played.end) + (played.kept ? "_kept" : "_new");
}

std::vector<cut_case> all_cases()
{
    std::vector<cut_case> cases;
    for (const auto how : {framing::length, framing::chunked, framing::connection}) {
        for (const auto end : {connection_end::fin, connection_end::reset}) {
            cases.push_back({how, end, false});
            cases.push_back({how, end, true});
        }
    }
    return cases;
}

/// The case on a new connection; requests that must not run twice use no other.
std::vector<cut_case> cases_on_new_connections()
{
    auto cases = all_cases();
    std::erase_if(cases, [](const cut_case& played) { return played.kept; });
    return cases;
}

struct cut_responses : testing::TestWithParam<cut_case> {
    deployment all;
    cut_replicas plain{all, "plain"};
    cut_replicas engines{all, "lm"};
    running_gateway& served = all.add_gateway("a");
    std::size_t whole_requests = 0;

    cut_responses()
    {
        plain.set_keeping(GetParam().kept);
        engines.set_keeping(GetParam().kept);
        EXPECT_TRUE(deployment::eventually([this] {
            return served.ready() &&
                   all.status_of(served.address(), make_request("/safe/warm", "warm")) == 200;
        }));
    }

    planned_cut cut_after(std::size_t bytes) const
    {
        return {GetParam().how, GetParam().end, bytes, GetParam().kept};
    }
    /// Whether the bytes that were sent are a complete response as far as HTTP can tell.
    bool ends_with_connection(std::size_t sent, std::size_t head_bytes) const
    {
        return GetParam().how == framing::connection && GetParam().end == connection_end::fin &&
               sent >= head_bytes;
    }
    std::string whole_plain(const std::string& id) const
    {
        return response_text(GetParam().how, replica_fields(id), plain_body(id));
    }
    std::string whole_stream(const std::string& id) const
    {
        return response_text(GetParam().how, replica_fields(id), events_after(id, 0));
    }
    static std::size_t first_cut()
    {
        const auto& played = GetParam();
        return static_cast<std::size_t>(played.how) * 4 + (played.end == connection_end::fin ? 2 : 0) +
               (played.kept ? 1 : 0);
    }
    /// An id of constant length.
    static std::string numbered(const std::string& prefix, std::size_t number)
    {
        constexpr std::size_t first = 10000;
        return prefix + std::to_string(first + number);
    }
    net::http_request request_for(const cut_replicas& replicas, const std::string& path,
                                  const std::string& id)
    {
        auto request = make_request(path + id, id);
        if (&replicas == &engines) {
            request.fields.add("Token-Counts", "5,9");
        }
        return request;
    }
    void earn_retry(const cut_replicas& replicas, const std::string& path)
    {
        for (int number = 0; number < requests_per_retry; ++number) {
            EXPECT_EQ(
                all.status_of(served.address(), request_for(replicas, path, numbered("w", ++whole_requests))),
                200);
        }
    }
    /// Sends requests, with other ids, until the cut of one has been played, and checks its outcome.
    template <class Check>
    void play(cut_replicas& replicas, std::size_t bytes, const std::string& path, const Check& check)
    {
        for (int turn = 0; turn < max_turns; ++turn) {
            const auto id = numbered("t" + std::to_string(turn) + "-", bytes);
            replicas.plan(id, cut_after(bytes));
            const auto outcome = all.send(served.address(), request_for(replicas, path, id));
            if (replicas.played(id)) {
                check(id, outcome);
                return;
            }
            const auto* response = std::get_if<net::http_response>(&outcome);
            ASSERT_NE(response, nullptr);
            EXPECT_EQ(response->status, 200);
        }
        FAIL() << "no request came on such a connection";
    }
};

std::size_t head_size(const std::string& whole)
{
    return whole.find("\r\n\r\n") + 4;
}

using cut_responses_to_safe_requests = cut_responses;
using cut_responses_to_unsafe_requests = cut_responses;

// Guards against a caller that gets a cut response as a whole one, or no response though another replica has
// one.
TEST_P(cut_responses_to_safe_requests, are_replaced_by_whole_ones)
{
    const auto size = whole_plain(numbered("t0-", 0)).size();
    for (std::size_t cut = first_cut() % stride; cut < size; cut += stride) {
        SCOPED_TRACE("cut after byte " + std::to_string(cut));
        earn_retry(plain, "/safe/");
        play(plain, cut, "/safe/", [&](const std::string& id, const auto& outcome) {
            const auto whole = whole_plain(id);
            const auto head = head_size(whole);
            const bool complete = ends_with_connection(cut, head);
            expect_success(outcome, id, complete ? whole.substr(head, cut - head) : plain_body(id));
            EXPECT_EQ(plain.runs(id), complete ? 1 : 2);
        });
    }
}

// Guards against a second run, and a promise that the request has not run, after a cut response.
TEST_P(cut_responses_to_unsafe_requests, leave_them_in_doubt)
{
    const auto size = whole_plain(numbered("t0-", 0)).size();
    for (std::size_t cut = 0; cut < size; ++cut) {
        SCOPED_TRACE("cut after byte " + std::to_string(cut));
        play(plain, cut, "/once/", [&](const std::string& id, const auto& outcome) {
            const auto whole = whole_plain(id);
            const auto head = head_size(whole);
            if (ends_with_connection(cut, head)) {
                expect_success(outcome, id, whole.substr(head, cut - head));
            }
            else {
                expect_in_doubt(outcome);
            }
            EXPECT_EQ(plain.runs(id), 1);
        });
    }
}

bool ends_with_an_event(const std::string& events)
{
    return events.empty() || events.ends_with("\n\n");
}

// Guards against a stream that lacks events, or has some twice, after its replica's response was cut.
TEST_P(cut_responses_to_safe_requests, are_resumed_where_they_are_streams)
{
    const auto size = whole_stream(numbered("t0-", 0)).size();
    for (std::size_t cut = first_cut() % stride; cut < size; cut += stride) {
        SCOPED_TRACE("cut after byte " + std::to_string(cut));
        earn_retry(engines, "/tale/");
        play(engines, cut, "/tale/", [&](const std::string& id, const auto& outcome) {
            const auto whole = whole_stream(id);
            const auto head = head_size(whole);
            const auto sent = cut < head ? std::string{} : whole.substr(head, cut - head);
            const bool complete = ends_with_connection(cut, head) && ends_with_an_event(sent);
            expect_success(outcome, id, complete ? sent : events_after(id, 0));
            EXPECT_EQ(engines.runs(id), complete ? 1 : 2);
        });
    }
}

// Guards against a cut stream that ends as if it were complete.
TEST_P(cut_responses_to_unsafe_requests, end_visibly_incomplete_where_they_are_streams)
{
    const auto size = whole_stream(numbered("t0-", 0)).size();
    for (std::size_t cut = 0; cut < size; ++cut) {
        SCOPED_TRACE("cut after byte " + std::to_string(cut));
        play(engines, cut, "/talk/", [&](const std::string& id, const auto& outcome) {
            const auto whole = whole_stream(id);
            const auto head = head_size(whole);
            const auto sent = cut < head ? std::string{} : whole.substr(head, cut - head);
            if (cut < head) {
                expect_in_doubt(outcome);
            }
            else if (ends_with_connection(cut, head) && ends_with_an_event(sent)) {
                expect_success(outcome, id, sent);
            }
            else {
                expect_visibly_incomplete(outcome);
            }
            EXPECT_EQ(engines.runs(id), 1);
        });
    }
}

INSTANTIATE_TEST_SUITE_P(each, cut_responses_to_safe_requests, testing::ValuesIn(all_cases()), case_name);
INSTANTIATE_TEST_SUITE_P(each, cut_responses_to_unsafe_requests,
                         testing::ValuesIn(cases_on_new_connections()), case_name);

} // namespace
} // namespace vanillagauge::gateway
