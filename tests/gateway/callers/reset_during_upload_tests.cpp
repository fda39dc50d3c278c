// Replicas that respond to a long upload at once, and end the connection while it is still being sent.
#include "../../early_peer.hpp"
#include "cut_replicas.hpp"
#include "response_checks.hpp"

namespace vanillagauge::gateway {
namespace {

/// More than the sockets between gateway and replica hold.
constexpr std::size_t upload_bytes = 12U << 20U;

struct uploads : testing::Test {
    deployment all;
    running_gateway& served = all.add_gateway("a");
    std::size_t replicas = 0;

    uploads()
    {
        EXPECT_TRUE(deployment::eventually([this] { return served.ready(); }));
    }

    net::http_result<net::http_response> upload(const std::string& path, const std::string& id)
    {
        auto request = make_request(path + id, id);
        request.fields.set("Deadline-Ms", "10000");
        if (path != "/safe/") {
            request.fields.add("Token-Counts", "5,9");
        }
        request.body.assign(upload_bytes, 'x');
        return all.send(served.address(), std::move(request), seconds(10));
    }
    void add(const early_peer& replica, const std::string& service)
    {
        all.put_replica_at(replica.address(), service, service + std::to_string(++replicas));
        EXPECT_TRUE(deployment::eventually([this] { return replicas_known(served) == replicas; }));
    }
};

std::string id_of(const early_peer::head& request)
{
    return std::string(request["Attempt-Id"]);
}

using body_of_request = std::string (*)(const std::string& id);

std::string all_events(const std::string& id)
{
    return events_after(id, 0);
}

std::string half_of_plain_body(const std::string& id)
{
    return plain_body(id).substr(0, plain_body(id).size() / 2);
}

/// All but the last.
std::string first_events(const std::string& id)
{
    const auto last = events_after(id, events_of_stream - 1);
    const auto all = all_events(id);
    return all.substr(0, all.size() - last.size());
}

early_peer::script whole(framing how, body_of_request body)
{
    return [how, body](const early_peer::head& request) {
        const auto id = id_of(request);
        return response_text(how, replica_fields(id), body(id));
    };
}

/// As many bytes of the response as its head and the beginning of its body have.
early_peer::script cut(framing how, body_of_request body, body_of_request beginning)
{
    return [how, body, beginning](const early_peer::head& request) {
        const auto id = id_of(request);
        const auto text = response_text(how, replica_fields(id), body(id));
        return text.substr(0, text.find("\r\n\r\n") + 4 + beginning(id).size());
    };
}

struct early_case {
    framing how;
    early_end end;
};

void PrintTo(const early_case& played, std::ostream* out)
{
    *out << static_cast<int>(played.how) << " " << static_cast<int>(played.end);
}

std::string case_name(const testing::TestParamInfo<early_case>& info)
{
    const auto& played = info.param;
    const std::string end = played.end == early_end::reset            ? ""
                            : played.end == early_end::fin_then_reset ? "_unread"
                                                                      : "_read";
    return name_of(played.how, played.end == early_end::reset ? connection_end::reset : connection_end::fin) +
           end;
}

std::string framing_name(const testing::TestParamInfo<framing>& info)
{
    return name_of(info.param, connection_end::reset);
}

struct reset_response : uploads, testing::WithParamInterface<framing> {};
struct whole_response : uploads, testing::WithParamInterface<early_case> {};

// Guards against the part of a response that was sent before a reset, which the caller gets as a whole one.
TEST_P(reset_response, to_an_upload_is_not_passed_on)
{
    const early_peer replica(cut(GetParam(), plain_body, half_of_plain_body), early_end::reset);
    add(replica, "plain");
    expect_in_doubt(upload("/safe/", "a1"));
    EXPECT_GE(replica.requests(), 1);
}

// Guards against a stream that ends as if it were whole after the replica has reset it between two events.
TEST_P(reset_response, does_not_end_a_stream)
{
    const early_peer replica(cut(GetParam(), all_events, first_events), early_end::reset);
    add(replica, "lm");
    expect_visibly_incomplete(upload("/talk/", "a1"));
    EXPECT_EQ(replica.requests(), 1);
}

// Guards against a sound early response that is dropped because its replica did not read the whole upload.
TEST_P(whole_response, to_an_upload_is_passed_on)
{
    const early_peer replica(whole(GetParam().how, plain_body), GetParam().end);
    add(replica, "plain");
    expect_success(upload("/safe/", "a1"), "a1", plain_body("a1"));
    EXPECT_EQ(replica.requests(), 1);
}

TEST_P(whole_response, ends_a_stream)
{
    const early_peer replica(whole(GetParam().how, all_events), GetParam().end);
    add(replica, "lm");
    expect_success(upload("/talk/", "a1"), "a1", events_after("a1", 0));
    EXPECT_EQ(replica.requests(), 1);
}

// Guards against a stream that lacks its last events because a reset was taken for its end.
TEST_F(uploads, resume_a_stream_after_a_reset)
{
    const auto response = [](const early_peer::head& request) {
        const bool resumed = !request["Last-Event-Id"].empty();
        return resumed ? response_text(framing::length, replica_fields(id_of(request)),
                                       events_after(id_of(request), events_of_stream - 1))
                       : cut(framing::connection, all_events, first_events)(request);
    };
    const early_peer first(response, early_end::reset);
    const early_peer second(response, early_end::reset);
    add(first, "lm");
    add(second, "lm");
    expect_success(upload("/tale/", "a1"), "a1", events_after("a1", 0));
    EXPECT_EQ(first.requests() + second.requests(), 2);
}

INSTANTIATE_TEST_SUITE_P(each, reset_response,
                         testing::Values(framing::length, framing::chunked, framing::connection),
                         framing_name);
INSTANTIATE_TEST_SUITE_P(each, whole_response,
                         testing::Values(early_case{framing::length, early_end::reset},
                                         early_case{framing::chunked, early_end::reset},
                                         early_case{framing::connection, early_end::fin_then_reset},
                                         early_case{framing::length, early_end::fin_then_reset},
                                         early_case{framing::chunked, early_end::fin_then_reset},
                                         early_case{framing::connection, early_end::fin_then_read},
                                         early_case{framing::length, early_end::fin_then_read},
                                         early_case{framing::chunked, early_end::fin_then_read}),
                         case_name);

} // namespace
} // namespace vanillagauge::gateway
