#include "outside_2.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <algorithm>
#include <charconv>

namespace vanillagauge::review {

using nlohmann::json;

namespace {

constexpr int tokens_an_event = 59;
constexpr milliseconds load_time{900};

int number_in(std::string_view text)
{
    int number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Ports below those that the kernel gives to clients, so that a restarted gateway gets its own again.
class free_ports {
public:
    explicit free_ports(net::loop& loop)
        : loop_(loop), next_(first + static_cast<unsigned>(getpid()) * 61U % count)
    {
    }
    std::string take()
    {
        while (true) {
            next_ = next_ + 1 < first + count ? next_ + 1 : first;
            boost::asio::ip::tcp::acceptor probe(loop_);
            boost::system::error_code taken;
            probe.open(boost::asio::ip::tcp::v4());
            probe.bind({boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(next_)},
                       taken);
            if (!taken) {
                return "127.0.0.1:" + std::to_string(next_);
            }
        }
    }

private:
    static constexpr unsigned first = 12000;
    static constexpr unsigned count = 20000;
    net::loop& loop_;
    unsigned next_;
};

} // namespace

void record::line(const std::string& text)
{
    const auto since = std::chrono::duration_cast<milliseconds>(steady::now() - began_);
    out_ << since.count() << " " << text << std::endl;
}

std::vector<gateway_place> choose_places(net::loop& loop, std::size_t fronts,
                                         const std::vector<std::string>& zones)
{
    free_ports ports(loop);
    std::vector<gateway_place> places;
    for (std::size_t number = 0; number < fronts; ++number) {
        const auto& zone = zones[number % zones.size()];
        places.push_back({"front-" + zone + "-" + std::to_string(number / zones.size() + 1), zone,
                          ports.take(), ports.take(), ports.take(), ports.take(), ports.take()});
    }
    for (const auto& zone : zones) {
        places.push_back({"store-" + zone + "-1", zone, {}, {}, {}, ports.take(), ports.take()});
    }
    return places;
}

void write_settings(const std::filesystem::path& folder, const std::vector<gateway_place>& places,
                    const std::string& store)
{
    json seeds = json::array();
    constexpr std::size_t seed_count = 3;
    for (std::size_t number = 0; number < std::min(seed_count, places.size()); ++number) {
        seeds.push_back(places[number].peer);
    }
    for (const auto& place : places) {
        json settings{{"vm", place.vm},
                      {"failure_domain", place.zone},
                      {"data_folder", ""},
                      {"platform", store},
                      {"http_threads", 2}};
        settings["tokens"] = {{"caller", "caller-token"},
                              {"trainer", "trainer-token"},
                              {"operator", "operator-token"},
                              {"peer", "gateway-peers"}};
        settings["keeper"] = {{"address", place.peer}, {"peer_listen", place.peer}, {"seeds", seeds}};
        settings["gateway"] = {{"relay_listen", place.relay},
                               {"front_listen", place.front},
                               {"ready_listen", place.ready},
                               {"metrics_listen", ""},
                               {"directory_listen", place.directory},
                               {"model_order_holder", place.vm},
                               {"stop_grace_s", 8},
                               {"order_lease_ms", 3000},
                               {"advice_time_ms", 2000},
                               {"duties_address", ""},
                               {"usage_window_s", 0},
                               {"usage_due_s", 10},
                               {"cpu_share", place.front.empty() ? 0.5 : 0.25}};
        std::ofstream(folder / (place.vm + ".json")) << settings.dump(2);
    }
}

net::task<net::http_result<net::http_response>> ask(net::loop& loop, std::string address,
                                                    net::http_request request, milliseconds within)
{
    constexpr std::size_t max_bytes = 8U << 20U;
    constexpr milliseconds connect_time{1000};
    const auto until = steady::now() + within;
    net::http_connection connection(loop);
    const auto connected =
        co_await connection.connect(std::move(address), std::min(until, steady::now() + connect_time));
    if (const auto* failed = std::get_if<net::http_failure>(&connected)) {
        co_return *failed;
    }
    co_return co_await net::exchange(connection, request, max_bytes, until);
}

net::task<bool> wait_until_ready(net::loop& loop, std::vector<gateway_place> places, milliseconds within)
{
    const auto until = steady::now() + within;
    std::erase_if(places, [](const gateway_place& place) { return place.front.empty(); });
    std::size_t ready = 0;
    while (ready < places.size() && steady::now() < until) {
        net::http_request request;
        request.target = "/api/ready";
        request.fields.add("Host", places[ready].ready);
        const auto answer = co_await ask(loop, places[ready].ready, request, milliseconds{1000});
        const auto* response = std::get_if<net::http_response>(&answer);
        if (response != nullptr && response->status == 200) {
            ++ready;
            continue;
        }
        co_await net::sleep_for(loop, milliseconds{100});
    }
    co_return ready == places.size();
}

std::string padded_text(const std::string& item, std::uint64_t number, std::size_t bytes)
{
    auto text = item + "-" + std::to_string(number) + " ";
    text.resize(std::max(bytes, text.size()), 'x');
    return text;
}

model_replica::model_replica(net::loop& loop, std::string id, const std::vector<std::string>& models,
                             std::uint64_t seed)
    : loop_(loop), id_(std::move(id)), random_(seed),
      service_(
          loop, [] { return net::service_limits{}; },
          [this](const net::http_request& request, net::responder& answer) { return serve(request, answer); })
{
    for (const auto& model : models) {
        models_[model] = {};
    }
}

bool model_replica::is_loading() const
{
    return std::any_of(models_.begin(), models_.end(),
                       [](const auto& entry) { return steady::now() < entry.second.loads_until; });
}

json model_replica::model_entries() const
{
    json entries = json::array();
    for (const auto& [name, known] : models_) {
        entries.push_back({{"Name", name}, {"Version", known.version}, {"Adapters", json::array()}});
    }
    return entries;
}

result<std::string> model_replica::open()
{
    auto opened = service_.open("127.0.0.1:0");
    if (ok(opened)) {
        address_ = value(opened);
    }
    return opened;
}

json model_replica::entry(const std::string& service, const std::string& zone) const
{
    json entry{{"Service", service},   {"Address", address_}, {"Zone", zone},
               {"Version", "v1"},      {"Slots", slots},      {"State", "ready"},
               {"ColdRemainingMs", 0}, {"Sequence", 1},       {"Stage", "both"}};
    entry["Models"] = model_entries();
    return entry;
}

net::task<void> model_replica::serve(const net::http_request& request, net::responder& answer)
{
    net::http_response response;
    const auto expected = request.fields.find("Expect-Instance");
    if (!expected.empty() && expected != id_) {
        response.status = 421;
        co_await answer.send(std::move(response));
        co_return;
    }
    if (request.target == "/api/report") {
        json report{{"Stage", "both"},
                    {"Busy", is_loading()},
                    {"Sequence", orders_},
                    {"QueuedRequests", 0},
                    {"RunningRequests", running_},
                    {"KvCacheUsed", 0},
                    {"KvCacheTotal", 48642},
                    {"Handles", 0}};
        report["Models"] = model_entries();
        response.body = report.dump();
        co_await answer.send(std::move(response));
        co_return;
    }
    if (request.target == "/api/order") {
        co_await order(request, answer);
        co_return;
    }
    const auto model = models_.find(std::string(request.fields.find("Model")));
    if (model == models_.end()) {
        response.status = 422;
        response.fields.add("Attempt-Id", request.fields.find("Attempt-Id"));
        co_await answer.send(std::move(response));
        co_return;
    }
    if (running_ >= slots || steady::now() < model->second.loads_until) {
        response.status = 503;
        response.fields.add("Attempt-Id", request.fields.find("Attempt-Id"));
        response.fields.add("Not-Executed", "1");
        co_await answer.send(std::move(response));
        co_return;
    }
    ++running_;
    co_await stream(request, answer);
    --running_;
}

net::task<void> model_replica::order(const net::http_request& request, net::responder& answer)
{
    net::http_response response;
    const auto wanted = json::parse(request.body, nullptr, false);
    const bool complete = wanted.is_object() && wanted.contains("Holder") && wanted.contains("FencingToken");
    const auto model = models_.find(complete ? wanted.value("Model", std::string{}) : std::string{});
    if (model == models_.end()) {
        response.status = 400;
    }
    else if (is_loading() || wanted.value("Expected", orders_) != orders_) {
        response.status = 409;
    }
    else if (wanted.value("Version", std::uint64_t{0}) <= model->second.version) {
        response.status = 200;
    }
    else {
        ++orders_;
        model->second = {wanted.value("Version", std::uint64_t{0}), steady::now() + load_time};
        response.status = 202;
    }
    co_await answer.send(std::move(response));
}

// Bytes drawn at random, none of which ends a line.
void model_replica::spoil(std::string& data)
{
    constexpr std::size_t wrong_bytes = 16;
    std::uniform_int_distribution<int> byte(0, 255);
    const auto first = data.size() / 2;
    for (std::size_t at = first; at < std::min(data.size(), first + wrong_bytes); ++at) {
        const auto drawn = static_cast<char>(byte(random_));
        data[at] = drawn == '\n' || drawn == '\r' ? '?' : drawn;
    }
}

net::task<void> model_replica::stream(const net::http_request& request, net::responder& answer)
{
    const auto& known = models_.at(std::string(request.fields.find("Model")));
    const auto item = std::string(request.fields.find("Attempt-Id"));
    const auto counts = request.fields.find("Token-Counts");
    const auto events =
        (number_in(counts.substr(counts.find(',') + 1)) + tokens_an_event - 1) / tokens_an_event;
    const auto after = number_in(request.fields.find("Last-Event-Id"));
    ++answers;
    const bool wrong = std::uniform_real_distribution<double>(0, 1)(random_) < spoiled_share;
    const auto wrong_event =
        std::uniform_int_distribution<int>(after + 1, std::max(after + 1, events))(random_);
    net::http_fields fields;
    fields.add("Attempt-Id", item);
    fields.add("Server-Stamp", "stamp." + id_);
    fields.add("Replica-Load", std::to_string(running_) + ",0," + std::to_string(slots));
    fields.add("Weight-Versions", std::to_string(known.version));
    fields.add("Content-Type", "text/event-stream");
    bool open = co_await answer.begin(200, fields);
    auto told_version = known.version;
    for (auto number = after + 1; open && number <= events; ++number) {
        const auto pause = std::max<duration>(event_interval, known.loads_until - steady::now());
        co_await net::sleep_for(loop_, pause);
        std::string text;
        if (known.version != told_version) {
            told_version = known.version;
            text = "weight-versions: " + std::to_string(told_version) + "\n";
        }
        auto data = padded_text(item, static_cast<std::uint64_t>(number), event_bytes);
        if (wrong && number == wrong_event) {
            spoil(data);
            ++spoiled;
            on_spoiled(id_ + " hands out wrong bytes in event " + std::to_string(number) + " of " + item);
        }
        text += "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
        open = co_await answer.write(std::move(text));
    }
    if (open) {
        co_await answer.finish();
    }
}

} // namespace vanillagauge::review
