// Replicas whose responses are not valid HTTP, or not in the way that a response may be written.
#include "batch_deployment.hpp"
#include "cut_replicas.hpp"
#include "response_checks.hpp"

namespace vanillagauge::gateway {
namespace {

/// What a caller must not get.
const std::string wrong_body = "not the replica's body";

/// Makes a response of the replica's fields, each a line that ends with CRLF, and a body.
using response_maker = std::function<std::string(const std::string& fields, const std::string& body)>;

struct broken_case {
    std::string name;
    response_maker make;
};

void PrintTo(const broken_case& broken, std::ostream* out)
{
    *out << broken.name;
}

std::string case_name(const testing::TestParamInfo<broken_case>& info)
{
    return info.param.name;
}

/// An event whose data no replica has made.
std::string wrong_events()
{
    return "id: 1\ndata: " + wrong_body + "\n\n";
}

struct broken_responses : testing::TestWithParam<broken_case> {
    deployment all;
    cut_replicas plain{all, "plain"};
    cut_replicas engines{all, "lm"};
    running_gateway& served = all.add_gateway("a");

    broken_responses()
    {
        EXPECT_TRUE(deployment::eventually([this] {
            return served.ready() &&
                   all.status_of(served.address(), make_request("/safe/warm", "warm")) == 200;
        }));
    }

    /// Breaks the first response to the request with this id.
    void plan(cut_replicas& replicas, const std::string& id)
    {
        const auto body = &replicas == &engines ? wrong_events() : wrong_body;
        replicas.plan(id,
                      [=, make = GetParam().make](const std::string& fields,
                                                  const std::string& /*sound*/) -> scripted_response {
                          return {make(fields, body), connection_end::fin};
                      });
    }
    void check_left_in_doubt(cut_replicas& replicas, net::http_request request)
    {
        const std::string id(request.fields.find("Attempt-Id"));
        SCOPED_TRACE(request.target);
        plan(replicas, id);
        expect_in_doubt(all.send(served.address(), std::move(request)));
        EXPECT_EQ(replicas.runs(id), 1);
    }
    void check_replaced(cut_replicas& replicas, net::http_request request, const std::string& sound_body)
    {
        const std::string id(request.fields.find("Attempt-Id"));
        SCOPED_TRACE(request.target);
        plan(replicas, id);
        expect_success(all.send(served.address(), std::move(request)), id, sound_body);
        EXPECT_EQ(replicas.runs(id), 2);
    }
    void check_item_and_score()
    {
        SCOPED_TRACE("an item and its score");
        plan(engines, "b1-i0");
        plan(plain, "b1-s0");
        EXPECT_EQ(all.status_of(served.address(), make_one_item("b1", true)), 202);
        const auto result = only_result(all, served, "b1");
        EXPECT_EQ(result.value("State", ""), "completed") << result;
        EXPECT_EQ(result.value("Text", ""), "b1-i0-1\nb1-i0-2\nb1-i0-3") << result;
        EXPECT_EQ(result.value("Score", ""), "stamp-of-b1-s0") << result;
        EXPECT_EQ(engines.runs("b1-i0"), 2);
        EXPECT_EQ(plain.runs("b1-s0"), 2);
    }
};

// Guards against a response that cannot be one, which a client gets as the replica's.
TEST_P(broken_responses, reach_no_client)
{
    check_left_in_doubt(plain, make_request("/once/1", "a1"));
    check_replaced(plain, make_request("/safe/1", "a2"), plain_body("a2"));
    check_left_in_doubt(engines, make_stream_request("a3", "/talk/1"));
    check_replaced(engines, make_stream_request("a4", "/tale/1"), events_after("a4", 0));
    check_item_and_score();
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string with_status(const std::string& status, const std::string& text)
{
    return replaced(text, "200 OK", status + " Some reason");
}

response_maker status_of(framing how, const std::string& status)
{
    return [=](const std::string& fields, const std::string& body) {
        return with_status(status, response_text(how, fields, body));
    };
}

/// The body is a whole response itself.
response_maker status_around_a_response(const std::string& status)
{
    return [=](const std::string& fields, const std::string& body) {
        const auto inner = response_text(framing::length, fields, body);
        return with_status(status, response_text(framing::length, fields, inner));
    };
}

/// A head, and a whole response behind it.
response_maker status_before_a_response(const std::string& status)
{
    return [=](const std::string& fields, const std::string& body) {
        const auto head = with_status(status, response_text(framing::connection, fields, ""));
        return head + response_text(framing::length, fields, body);
    };
}

/// Statuses that no final response can have: below 200, but for interim ones, or above 599.
std::vector<broken_case> broken_statuses()
{
    std::vector<broken_case> cases;
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        cases.push_back({status, status_of(framing::length, status)});
        cases.push_back({status + "_unframed", status_of(framing::connection, status)});
    }
    for (const std::string status : {"000", "001", "099", "100", "101", "103", "199"}) {
        cases.push_back({status + "_around_a_response", status_around_a_response(status)});
    }
    for (const std::string status : {"000", "099", "101"}) {
        cases.push_back({status + "_before_a_response", status_before_a_response(status)});
    }
    return cases;
}

// Guards against a sound response that is refused for the interim ones before it.
TEST(interim_responses, are_skipped)
{
    deployment all;
    cut_replicas plain(all, "plain");
    auto& served = all.add_gateway("a");
    EXPECT_TRUE(deployment::eventually([&] { return served.ready() && replicas_known(served) == 2; }));
    for (const std::string status : {"100", "102", "103", "199"}) {
        SCOPED_TRACE(status);
        const auto interim = "HTTP/1.1 " + status + " Some reason\r\nName: value\r\n\r\n";
        plain.plan(status, [&](const std::string& fields, const std::string& body) -> scripted_response {
            return {interim + interim + response_text(framing::length, fields, body)};
        });
        expect_success(all.send(served.address(), make_request("/once/1", status)), status,
                       plain_body(status));
        EXPECT_EQ(plain.runs(status), 1);
    }
}

INSTANTIATE_TEST_SUITE_P(status, broken_responses, testing::ValuesIn(broken_statuses()), case_name);

response_maker name_in_first_line(const std::string& field_name)
{
    return [=](const std::string& fields, const std::string& body) {
        return response_text(framing::length, field_name + ": 1\r\n" + fields, body);
    };
}

response_maker name_in_later_line(const std::string& field_name)
{
    return [=](const std::string& fields, const std::string& body) {
        return response_text(framing::length, fields + field_name + ": 1\r\n", body);
    };
}

/// The name of the field that tells the framing is followed by `odd`.
response_maker name_of_framing(framing how, const std::string& odd)
{
    return [=](const std::string& fields, const std::string& body) {
        const std::string name = how == framing::length ? "Content-Length" : "Transfer-Encoding";
        return replaced(response_text(how, fields, body), name, name + odd);
    };
}

/// Field names that are no tokens, each held by the head of a response that is sound otherwise.
std::vector<broken_case> broken_field_names()
{
    struct odd_byte {
        std::string name;
        std::string text;
    };
    const std::vector<odd_byte> bytes{
        {"blank", " "},  {"tab", "\t"},    {"nul", std::string(1, '\0')}, {"control", "\x01"},
        {"del", "\x7f"}, {"high", "\xe9"}, {"carriage_return", "\r"}};
    std::vector<broken_case> cases;
    for (const auto& byte : bytes) {
        cases.push_back({byte.name + "_within", name_in_first_line("Odd" + byte.text + "name")});
        cases.push_back({byte.name + "_at_the_start", name_in_first_line(byte.text + "Odd")});
        cases.push_back({byte.name + "_at_the_end", name_in_later_line("Odd" + byte.text)});
        cases.push_back({byte.name + "_behind_length", name_of_framing(framing::length, byte.text)});
        cases.push_back({byte.name + "_behind_coding", name_of_framing(framing::chunked, byte.text)});
    }
    cases.push_back({"blank_at_the_start_of_a_later_line", name_in_later_line(" Odd")});
    cases.push_back({"empty", name_in_later_line("")});
    cases.push_back({"separator", name_in_later_line("Odd(name)")});
    cases.push_back({"long_with_a_blank", name_in_later_line(std::string(4000, 'n') + " ")});
    return cases;
}

// Guards against a body that counts as whole though what stands behind its last chunk is broken.
TEST(broken_trailers, leave_a_request_in_doubt)
{
    const std::map<std::string, std::string> names{
        {"sound", "Name"}, {"blank", "Odd name"}, {"tab", "Odd\tname"}, {"control", "Odd\x01name"}};
    const scripted_peer replica([&names](const scripted_request& request) -> scripted_response {
        const auto id = request.field("Attempt-Id");
        const auto whole = response_text(framing::chunked, replica_fields(id), plain_body(id));
        return {whole.substr(0, whole.size() - 2) + names.at(id) + ": 1\r\n\r\n", connection_end::fin};
    });
    deployment all;
    all.put_replica_at(replica.address(), "plain", "s1");
    auto& served = all.add_gateway("a");
    EXPECT_TRUE(deployment::eventually([&] { return served.ready() && replicas_known(served) == 1; }));
    expect_success(all.send(served.address(), make_request("/once/1", "sound")), "sound",
                   plain_body("sound"));
    for (const auto* id : {"blank", "tab", "control"}) {
        SCOPED_TRACE(id);
        expect_in_doubt(all.send(served.address(), make_request("/once/1", id)));
    }
}

INSTANTIATE_TEST_SUITE_P(field_name, broken_responses, testing::ValuesIn(broken_field_names()), case_name);

response_maker transfer_coding(framing how, const std::string& codings)
{
    return [=](const std::string& fields, const std::string& body) {
        if (how == framing::chunked) {
            return replaced(response_text(how, fields, body), "chunked", codings);
        }
        return response_text(how, fields + "Transfer-Encoding: " + codings + "\r\n", body);
    };
}

/// Bodies in a transfer coding that no gateway has asked for.
std::vector<broken_case> broken_codings()
{
    return {{"gzip", transfer_coding(framing::connection, "gzip")},
            {"empty", transfer_coding(framing::connection, "")},
            {"identity_with_length", transfer_coding(framing::length, "identity")},
            {"gzip_and_chunked", transfer_coding(framing::chunked, "gzip, chunked")},
            {"gzip_and_chunked_in_two_lines",
             transfer_coding(framing::chunked, "gzip\r\nTransfer-Encoding: chunked")},
            {"chunked_and_gzip", transfer_coding(framing::chunked, "chunked, gzip")},
            {"chunked_twice", transfer_coding(framing::chunked, "chunked, chunked")}};
}

INSTANTIATE_TEST_SUITE_P(transfer_coding, broken_responses, testing::ValuesIn(broken_codings()), case_name);

} // namespace
} // namespace vanillagauge::gateway
