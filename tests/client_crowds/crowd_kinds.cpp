#include "crowd_kinds.hpp"

#include <cstdint>
#include <vector>

namespace vanillagauge::client_crowds {
namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t few = 8;
constexpr std::size_t more_than_descriptors = 400;

/// The limits for a crowd that is to take memory rather than descriptors.
constexpr process_bounds many_descriptors{.descriptors = 1200};

std::string text_of(std::size_t bytes)
{
    return std::string(bytes, 'x');
}

std::string open_head(std::size_t number, const std::string& target)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: c" + std::to_string(number) +
           "\r\nDeadline-Ms: 20000\r\n";
}

/// A request up to and with this text behind its head.
auto request_with(const std::string& fields, const std::string& body,
                  const std::string& target = "/first/run")
{
    return [=](std::size_t number) { return open_head(number, target) + fields + "\r\n" + body; };
}

std::string repeated(const std::string& text, std::size_t bytes)
{
    std::string all;
    while (all.size() < bytes) {
        all += text;
    }
    return all;
}

/// A frame of HTTP/2 (RFC 9113, section 4.1).
std::string http2_frame(char type, char flags, std::uint32_t stream, const std::string& payload)
{
    std::string frame;
    for (const int shift : {16, 8, 0}) {
        frame += static_cast<char>(payload.size() >> shift & 0xffU);
    }
    frame += type;
    frame += flags;
    for (const int shift : {24, 16, 8, 0}) {
        frame += static_cast<char>(stream >> shift & 0xffU);
    }
    return frame + payload;
}

/// The head of a POST with one more field, in HPACK's form without indexing (RFC 7541, section 6.2.2).
std::string http2_head(std::uint32_t stream, std::size_t value_bytes)
{
    constexpr char headers = 1;
    constexpr char end_headers = 4;
    constexpr std::size_t short_length = 127;
    std::string block = "\x83\x86\x84";
    block += "\x01\x01h"; // :authority
    block += std::string("\x00\x06x-long", 8);
    const auto rest = value_bytes - short_length;
    block += "\x7f";
    block += static_cast<char>((rest & 0x7fU) | 0x80U);
    block += static_cast<char>(rest >> 7U);
    block += text_of(value_bytes);
    return http2_frame(headers, end_headers, stream, block);
}

std::string http2_preface()
{
    constexpr char settings = 4;
    constexpr char acknowledged = 1;
    return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + http2_frame(settings, 0, 0, "") +
           http2_frame(settings, acknowledged, 0, "");
}

std::string http2_heads(std::size_t streams)
{
    std::string all;
    for (std::size_t number = 0; number < streams; ++number) {
        all += http2_head(static_cast<std::uint32_t>(2 * number + 1), 4 * kilobyte);
    }
    return all;
}

std::string submission(const std::string& id, std::size_t items, std::size_t body_bytes)
{
    std::string body = R"({"Items":[)";
    for (std::size_t item = 0; item < items; ++item) {
        body += (item > 0 ? R"(,{"Id":")" : R"({"Id":")") + id + "i" +
                (item > 0 ? std::to_string(item) : "") +
                R"(","Path":"/batch/wait","Headers":{},"Tokens":10,"Body":")" + std::string(body_bytes, 'A') +
                R"("})";
    }
    body += "]}";
    return "POST /batch/submit HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id +
           "\r\nDeadline-Ms: 20000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string batch_name(std::size_t client, std::size_t number)
{
    return "b" + std::to_string(client) + "x" + std::to_string(number);
}

/// So many batches, each of one item with this text as its body in base64, which replicas never finish.
std::string batches(std::size_t client, std::size_t count, std::size_t body_bytes)
{
    std::string all;
    for (std::size_t number = 0; number < count; ++number) {
        all += submission(batch_name(client, number), 1, body_bytes);
    }
    return all;
}

/// So many reads, each under names of its own.
std::string reads_under_names(std::size_t client, std::size_t count)
{
    std::string all;
    for (std::size_t number = 0; number < count; ++number) {
        const auto name = std::to_string(client) + "x" + std::to_string(number);
        all += "GET /first/" + name + "?q=" + name + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: n" + name +
               "\r\nDeadline-Ms: 20000\r\nModel: m" + name + "\r\nPrompt-Prefix: " + std::to_string(number) +
               "a:20\r\ntraceparent: t" + name + "\r\n\r\n";
        all += "GET /api/lots/" + name + " HTTP/1.1\r\nHost: h" + name + "\r\n\r\n";
    }
    return all;
}

/// So many batches, each of which is ended as soon as it has been accepted.
std::string ended_batches(std::size_t client, std::size_t count, std::size_t items, std::size_t body_bytes)
{
    std::string all;
    for (std::size_t number = 0; number < count; ++number) {
        const auto id = batch_name(client, number);
        all += submission(id, items, body_bytes);
        all += "DELETE /api/lots/" + id + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    return all;
}

/// A hundred clients of each kind that is to take memory, all at once.
crowd_kind everything(const std::map<std::string, crowd_kind>& kinds)
{
    constexpr std::size_t clients_of_each = 100;
    std::vector<std::function<std::string(std::size_t)>> openings;
    for (const auto* name : {"batches", "bodies_stopped", "heads_stopped", "heads_waiting", "answers_unread",
                             "streams_unread"}) {
        openings.push_back(kinds.at(name).opening);
    }
    return {.clients = clients_of_each * openings.size(),
            .bounds = many_descriptors,
            .opening = [openings](std::size_t number) { return openings[number % openings.size()](number); }};
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";

std::map<std::string, crowd_kind> make_kinds()
{
    constexpr std::size_t sent_mb = 24;
    constexpr std::size_t piece_bytes = 64 * kilobyte;
    const auto endless = [](std::function<std::string(std::size_t)> opening, std::string piece) {
        return crowd_kind{.clients = few,
                          .opening = std::move(opening),
                          .piece = std::move(piece),
                          .piece_bytes_in_all = sent_mb * megabyte};
    };
    std::map<std::string, crowd_kind> kinds;
    kinds["trailer_fields"] = endless(request_with(chunked, "1\r\nx\r\n0\r\n"),
                                      repeated("X-Trailer: " + text_of(kilobyte) + "\r\n", piece_bytes));
    kinds["trailer_line"] =
        endless(request_with(chunked, "1\r\nx\r\n0\r\nX-Trailer: "), text_of(piece_bytes));
    kinds["chunk_extension"] = endless(request_with(chunked, "1;x="), text_of(piece_bytes));
    kinds["small_chunks"] = endless(request_with(chunked, ""),
                                    repeated("1;x=" + text_of(4 * kilobyte) + "\r\nx\r\n", piece_bytes));
    kinds["request_line"] = endless([](std::size_t) { return "POST /"; }, text_of(piece_bytes));
    kinds["header_line"] =
        endless([](std::size_t number) { return open_head(number, "/first/run") + "X-Long: "; },
                text_of(piece_bytes));
    kinds["pipelined"] = endless([](std::size_t) { return std::string{}; },
                                 repeated(open_head(0, "/first/run") + "\r\n", piece_bytes));
    kinds["batches"] = {.clients = 20, .bounds = many_descriptors, .opening = [](std::size_t number) {
                            return batches(number, 8, 900 * kilobyte);
                        }};
    constexpr char data = 0;
    kinds["http2_data"] = endless([](std::size_t) { return http2_preface() + http2_head(1, kilobyte); },
                                  repeated(http2_frame(data, 0, 1, text_of(16 * kilobyte)), piece_bytes));
    kinds["http2_heads"] = {.clients = few,
                            .opening = [](std::size_t) { return http2_preface() + http2_heads(3000); }};
    kinds["heads_stopped"] = {.clients = 1000, .bounds = many_descriptors, .opening = [](std::size_t number) {
                                  return open_head(number, "/first/run") +
                                         "X-Long: " + text_of(60 * kilobyte);
                              }};
    kinds["heads_waiting"] = {
        .clients = 1000,
        .bounds = many_descriptors,
        .opening = request_with("X-Long: " + text_of(60 * kilobyte) + "\r\n", "", "/first/wait")};
    kinds["heads_then_idle"] = {.clients = 1000,
                                .bounds = many_descriptors,
                                .opening = request_with("X-Long: " + text_of(60 * kilobyte) + "\r\n", "")};
    kinds["bodies_stopped"] = {.clients = 60,
                               .opening = request_with("Content-Length: 4000000\r\n", text_of(3'900'000))};
    kinds["small_bodies_stopped"] = {.clients = more_than_descriptors,
                                     .opening =
                                         request_with("Content-Length: 61440\r\n", text_of(59 * kilobyte))};
    kinds["chunks_stopped"] = {.clients = more_than_descriptors,
                               .opening = request_with(chunked, "5\r\nhello\r\n")};
    kinds["silent"] = {.clients = more_than_descriptors, .opening = [](std::size_t) { return ""; }};
    kinds["expect_continue"] = {.clients = more_than_descriptors,
                                .opening =
                                    request_with("Content-Length: 1000\r\nExpect: 100-continue\r\n", "")};
    kinds["kept_idle"] = {.clients = more_than_descriptors, .opening = request_with("", "")};
    kinds["waiting"] = {.clients = more_than_descriptors, .opening = request_with("", "", "/first/wait")};
    kinds["cancelled"] = {
        .clients = more_than_descriptors, .opening = request_with("", "", "/first/wait"), .closes = true};
    kinds["answers_unread"] = {
        .clients = 150, .bounds = many_descriptors, .opening = request_with("", "", "/first/large")};
    kinds["streams_unread"] = {
        .clients = 150, .bounds = many_descriptors, .opening = request_with("", "", "/stream/large")};
    kinds["batches_ended"] = {.clients = 4, .bounds = many_descriptors, .opening = [](std::size_t number) {
                                  return ended_batches(number, 6, 5, 790 * kilobyte);
                              }};
    // A body that is read makes the system take more of what follows.
    kinds["unread"] = {.clients = 150,
                       .bounds = many_descriptors,
                       .opening =
                           [](std::size_t number) {
                               return open_head(number, "/first/run") + "Content-Length: 4000000\r\n\r\n" +
                                      text_of(4'000'000) + open_head(number, "/first/wait") + "\r\n";
                           },
                       .piece = text_of(piece_bytes),
                       .piece_bytes_in_all = 8 * megabyte,
                       .counts_unread = true};
    kinds["small_batches"] = {.clients = 200, .bounds = many_descriptors, .opening = [](std::size_t number) {
                                  return batches(number, 50, 4);
                              }};
    kinds["batch_headers"] = {.clients = 200,
                              .bounds = {.memory_mb = 48, .descriptors = 1200},
                              .opening = [](std::size_t number) { return ended_batches(number, 100, 1, 4); }};
    kinds["names"] = {.clients = 200, .bounds = many_descriptors, .opening = [](std::size_t number) {
                          return reads_under_names(number, 200);
                      }};
    kinds["everything"] = everything(kinds);
    return kinds;
}

} // namespace

const std::map<std::string, crowd_kind>& all_kinds()
{
    static const auto kinds = make_kinds();
    return kinds;
}

} // namespace vanillagauge::client_crowds
