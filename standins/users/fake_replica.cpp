#include "standins/users/fake_replica.hpp"

#include <algorithm>

namespace vanillagauge::standins {

using nlohmann::json;

namespace {

bool names_other_attempt(replica_fault fault)
{
    return fault == replica_fault::other_attempt || fault == replica_fault::late_rejection ||
           fault == replica_fault::late_shed;
}

} // namespace

std::string event_text(const std::string& item, std::uint64_t number)
{
    return item + "-" + std::to_string(number);
}

fake_replica::fake_replica(net::loop& loop, std::string id, std::uint64_t first_version)
    : version(first_version), loop_(loop), id_(std::move(id)),
      service_(
          loop, [] { return net::service_limits{}; },
          [this](const net::http_request& request, net::responder& answer) { return serve(request, answer); })
{
}

result<std::string> fake_replica::open()
{
    auto opened = service_.open("127.0.0.1:0");
    if (ok(opened)) {
        address_ = value(opened);
    }
    return opened;
}

json fake_replica::entry(const std::string& service, const std::string& model, const std::string& state) const
{
    json models = json::array();
    if (!model.empty()) {
        models.push_back({{"Name", model}, {"Version", version}, {"Adapters", json::array()}});
    }
    return {{"Service", service}, {"Address", address_}, {"Zone", "z1"},     {"Version", "v1"},
            {"Slots", 4},         {"State", state},      {"Models", models}, {"Sequence", 1}};
}

net::http_fields fake_replica::response_fields(const net::http_request& request, replica_fault fault) const
{
    net::http_fields fields;
    const auto attempt =
        names_other_attempt(fault) ? std::string_view("another") : request.fields.find("Attempt-Id");
    fields.add("Attempt-Id", attempt);
    if (fault != replica_fault::no_stamp) {
        fields.add("Server-Stamp", (fault == replica_fault::wrong_stamp ? "stamp-\xff" : "stamp-") + id_);
    }
    fields.add("Replica-Load", std::to_string(std::max(1, running_streams_)) + ",0,4");
    fields.add("Weight-Versions", std::to_string(version));
    return fields;
}

net::task<void> fake_replica::send_late_copy(const net::http_request& request, net::responder& answer)
{
    const auto id = std::string(request.fields.find("Attempt-Id"));
    const auto found = last_answers_.find({answer.connection_number(), id});
    if (!repeats_answers || found == last_answers_.end()) {
        co_return;
    }
    auto copy = found->second;
    last_answers_.erase(found);
    co_await answer.send(std::move(copy));
}

void fake_replica::keep_answer(const net::http_request& request, const net::responder& answer,
                               const net::http_response& sent)
{
    if (repeats_answers) {
        const auto id = std::string(request.fields.find("Attempt-Id"));
        last_answers_[{answer.connection_number(), id}] = sent;
    }
    if (repeats_answers_before_orders) {
        last_answer_on_[answer.connection_number()] = sent;
    }
}

net::task<void> fake_replica::serve(const net::http_request& request, net::responder& answer)
{
    net::http_response response;
    const auto expected = request.fields.find("Expect-Instance");
    if (!expected.empty() && expected != id_) {
        response.status = 421;
        response.fields.add("Replica-Id", id_);
        co_await answer.send(std::move(response));
        co_return;
    }
    if (request.target == "/api/report") {
        json report;
        report["Models"] = json::array({{{"Name", "m"}, {"Version", version}}});
        report["Busy"] = false;
        report["Sequence"] = accepted_orders_;
        response.body = report.dump();
        co_await answer.send(std::move(response));
        co_return;
    }
    if (request.target == "/api/order") {
        if (auto copy = last_answer_on_.extract(answer.connection_number())) {
            co_await answer.send(std::move(copy.mapped()));
        }
        co_await handle_order(request, answer);
        co_return;
    }
    auto fault = replica_fault::none;
    if (!script.empty()) {
        fault = script.front();
        script.erase(script.begin());
    }
    if (always_fail.contains(std::string(request.fields.find("Attempt-Id")))) {
        fault = replica_fault::fail;
    }
    if (const auto left = resets_left.find(std::string(request.fields.find("Attempt-Id")));
        left != resets_left.end() && left->second > 0) {
        --left->second;
        fault = replica_fault::reset;
    }
    co_await run(request, answer, fault);
}

bool fake_replica::refuses_streams() const
{
    return (max_streams > 0 && running_streams_ >= max_streams) || steady::now() < loads_until_;
}

int fake_replica::apply_order(const json& order)
{
    const auto expected = order.at("Expected").get<std::uint64_t>();
    const auto wanted = order.at("Version").get<std::uint64_t>();
    orders.push_back(order);
    order_times.push_back(steady::now());
    if (expected != accepted_orders_) {
        return 409;
    }
    ++accepted_orders_;
    loads_until_ = steady::now() + load_time;
    version = wanted;
    return 202;
}

net::task<void> fake_replica::handle_order(const net::http_request& request, net::responder& answer)
{
    net::http_response response;
    try {
        response.status = apply_order(json::parse(request.body));
    }
    catch (const json::exception& why) {
        response.status = 400;
        response.body = why.what();
    }
    co_await answer.send(std::move(response));
}

net::task<void> fake_replica::run(const net::http_request& request, net::responder& answer,
                                  replica_fault fault)
{
    net::http_response response;
    const bool streams = request.fields.contains("Token-Counts");
    if (streams && refuses_streams()) {
        ++refused_streams;
        fault = replica_fault::shed;
    }
    co_await send_late_copy(request, answer);
    if (fault == replica_fault::shed) {
        response.status = 503;
        response.fields.add("Attempt-Id", request.fields.find("Attempt-Id"));
        response.fields.add("Not-Executed", "1");
        keep_answer(request, answer, response);
        co_await answer.send(std::move(response));
        co_return;
    }
    started_requests.push_back(
        {std::string(request.fields.find("Attempt-Id")), request.method, request.target, request.body,
         std::string(request.fields.find("Last-Event-Id")), std::string(request.fields.find("Deadline-Ms")),
         std::string(request.fields.find("traceparent")), std::string(request.fields.find("Tenant")),
         request.fields.contains("Api-Key"), steady::now(), fault});
    if (fault == replica_fault::nameless_shed) {
        net::http_response refusal;
        refusal.status = 503;
        refusal.fields.add("Not-Executed", "1");
        co_await answer.send(std::move(refusal));
    }
    if (fault == replica_fault::reset) {
        answer.abort();
        co_return;
    }
    if (fault == replica_fault::silent) {
        co_await net::sleep_for(loop_, seconds(30));
        co_return;
    }
    const bool fails = fault == replica_fault::fail || fault == replica_fault::unprocessable ||
                       fault == replica_fault::late_rejection || fault == replica_fault::late_shed;
    if (streams && !fails) {
        ++running_streams_;
        co_await stream(request, answer, fault);
        --running_streams_;
        co_return;
    }
    if (work_time.count() > 0) {
        co_await net::sleep_for(loop_, work_time);
    }
    if (answer.client_disconnected()) {
        ++cancelled;
        co_return;
    }
    response.fields = response_fields(request, fault);
    if (fault == replica_fault::fail) {
        response.status = 500;
    }
    else if (fault == replica_fault::unprocessable || fault == replica_fault::late_rejection) {
        response.status = 422;
    }
    else if (fault == replica_fault::late_shed) {
        response.status = 503;
        response.fields.add("Not-Executed", "1");
    }
    response.body = "answer of " + id_ + " to " + request.body;
    keep_answer(request, answer, response);
    co_await answer.send(std::move(response));
}

net::task<void> fake_replica::stream(const net::http_request& request, net::responder& answer,
                                     replica_fault fault)
{
    const auto item = std::string(request.fields.find("Attempt-Id"));
    const auto after = std::string(request.fields.find("Last-Event-Id"));
    net::http_response whole;
    whole.fields = response_fields(request, fault);
    whole.fields.add("Content-Type", "text/event-stream");
    bool open = co_await answer.begin(200, whole.fields);
    if (fault == replica_fault::endless_event || fault == replica_fault::endless_lines) {
        const std::string piece = fault == replica_fault::endless_event ? "data: x" : ": x\n\n";
        while (open) {
            co_await net::sleep_for(loop_, milliseconds(1));
            std::string text;
            while (text.size() < (64U << 10U)) {
                text += piece;
            }
            open = co_await answer.write(std::move(text));
        }
    }
    auto sent_version = version;
    const auto first = after.empty() ? 1 : std::stoi(after) + 1;
    for (auto number = first; open && number <= events; ++number) {
        co_await net::sleep_for(loop_, number == first + 1 ? event_interval + pause : event_interval);
        std::string text;
        if (version != sent_version) {
            sent_version = version;
            text = "weight-versions: " + std::to_string(version) + "\n";
        }
        text += "id: " + std::to_string(number) +
                "\ndata: " + event_text(item, static_cast<std::uint64_t>(number));
        if (fault == replica_fault::cut_stream && number == 2) {
            co_await answer.write(std::move(text));
            answer.abort();
            co_return;
        }
        if (fault == replica_fault::wrong_bytes && number == 2) {
            text += "\xc3\x28\xed\xa0\x80\xff";
        }
        text += "\n\n";
        whole.body += text;
        open = co_await answer.write(std::move(text));
    }
    if (!open) {
        ++cancelled;
        co_return;
    }
    keep_answer(request, answer, whole);
    co_await answer.finish();
}

} // namespace vanillagauge::standins
