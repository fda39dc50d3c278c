/// Gateways on loopback with a fake store and fake replicas.
#ifndef VANILLAGAUGE_TESTS_GATEWAY_DEPLOYMENT_HPP
#define VANILLAGAUGE_TESTS_GATEWAY_DEPLOYMENT_HPP

#include "platform/gateway_program.hpp"
#include "standins/users/fake_replica.hpp"
#include "standins/users/fake_store.hpp"
#include "wire/event_loop.hpp"

#include <boost/asio/io_context.hpp>

#include <future>
#include <memory>
#include <optional>
#include <thread>

namespace vanillagauge::gateway {

inline config::settings make_settings(const std::string& vm, const std::string& store,
                                      const std::vector<std::string>& seeds)
{
    config::settings settings;
    settings.vm = vm;
    settings.failure_domain = "z1";
    settings.platform = store;
    settings.tokens.peer = "gateway-peers";
    settings.keeper.seeds = seeds;
    settings.gateway.front_listen = "127.0.0.1:0";
    settings.gateway.relay_listen = "127.0.0.1:0";
    settings.gateway.ready_listen = "127.0.0.1:0";
    settings.gateway.order_lease = milliseconds(600);
    return settings;
}

/// A gateway run by its program class.
class running_gateway {
public:
    running_gateway(const std::string& vm, const std::string& store, const std::vector<std::string>& seeds)
        : running_gateway(make_settings(vm, store, seeds))
    {
    }
    explicit running_gateway(config::settings settings) : program_(std::move(settings))
    {
        const auto opened = program_.open();
        if (!ok(opened)) {
            throw std::runtime_error(describe(failure(opened)));
        }
        address_ = value(opened);
    }

    const std::string& address() const { return address_; }
    void kill() { program_.kill(); }
    void stop() { program_.stop(); }

    template <class Answer>
    Answer query(std::function<Answer(gateway&)> question)
    {
        return program_.run_on_loop<Answer>(std::move(question));
    }
    bool ready()
    {
        return query<bool>([](gateway& served) { return served.ready(); });
    }

private:
    platform::gateway_program program_;
    std::string address_;
};

/// The value of a series of the metrics page; none if the page does not have it.
inline std::optional<double> value_of(running_gateway& served, const std::string& series)
{
    const auto page = "\n" + served.query<std::string>([](gateway& asked) { return asked.metrics_page(); });
    const auto line = "\n" + series + " ";
    const auto at = page.find(line);
    return at == std::string::npos ? std::nullopt : std::optional{std::stod(page.substr(at + line.size()))};
}

/// The value of a gauge for one kind; none if the page does not have it.
inline std::optional<double> gauge_of(running_gateway& served, const std::string& name,
                                      const std::string& kind)
{
    return value_of(served, name + "{kind=\"" + kind + "\"}");
}

/// How many replicas the gateway's copy of the store has.
inline std::size_t replicas_known(running_gateway& served)
{
    return static_cast<std::size_t>(gauge_of(served, "feed_objects", "servers").value_or(0));
}

/// Fake store, fake replicas and a blocking client on a separate loop, and gateways that use them.
class deployment {
public:
    deployment() : store_(loop_.context())
    {
        store_address_ = value(store_.open());
        second_store_address_ = value(store_.open_second());
        put_configuration(1);
    }
    ~deployment()
    {
        gateways.clear();
        loop_.stop();
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    std::vector<std::unique_ptr<running_gateway>> gateways;

    const std::string& store_address() const { return store_address_; }
    /// Where the stand-ins run.
    net::loop& standins_loop() { return loop_.context(); }

    /// Runs `work` on the store's loop.
    void modify_store(const std::function<void(standins::fake_store&)>& work)
    {
        std::promise<void> promise;
        loop_.post([&] {
            work(store_);
            promise.set_value();
        });
        promise.get_future().wait();
    }

    template <class Answer>
    Answer inspect_store(const std::function<Answer(standins::fake_store&)>& question)
    {
        std::promise<Answer> promise;
        loop_.post([&] { promise.set_value(question(store_)); });
        return promise.get_future().get();
    }

    /// Versions from 2 on have an additional route, /added/.
    void put_configuration(std::uint64_t version)
    {
        const auto text = nlohmann::json::parse(R"({"Routes":[
            {"Name":"safe","Host":"h","PathPrefix":"/safe/","Kind":"safe","Service":"plain","Attempts":2,
             "TimeoutMs":2000,"TargetLatencyMs":50,"Priority":0},
            {"Name":"once","Host":"h","PathPrefix":"/once/","Kind":"unsafe","Service":"plain","Attempts":2,
             "TimeoutMs":1000,"TargetLatencyMs":50,"Priority":0},
            {"Name":"flow","Host":"h","PathPrefix":"/flow/","Kind":"streaming","Service":"lm","Attempts":3,
             "TimeoutMs":3000,"Resumable":true},
            {"Name":"talk","Host":"h","PathPrefix":"/talk/","Kind":"streaming","Service":"lm","Attempts":3,
             "TimeoutMs":20000,"TargetLatencyMs":2000},
            {"Name":"tale","Host":"h","PathPrefix":"/tale/","Kind":"streaming","Service":"lm","Attempts":3,
             "TimeoutMs":20000,"Resumable":true},
            {"Name":"lots","Host":"h","PathPrefix":"/lots/","Kind":"rollout","Service":"lm","Attempts":2,
             "MaxAgeS":20,"ResultDeadlineMs":5000},
            {"Name":"score","Host":"h","PathPrefix":"/score/","Kind":"safe","Service":"plain","Attempts":3,
             "TimeoutMs":3000,"TargetLatencyMs":800,"Priority":2}],
            "Services":[{"Name":"plain"},{"Name":"lm","Engine":{"Models":[{"Name":"m"}]}}]})");
        auto whole = text;
        whole["Version"] = version;
        if (version > 1) {
            auto added = whole["Routes"][0];
            added["Name"] = "added";
            added["PathPrefix"] = "/added/";
            whole["Routes"].push_back(std::move(added));
        }
        modify_store([&](standins::fake_store& store) { store.put("config", "main", whole); });
    }

    standins::fake_replica& add_replica(const std::string& id, const std::string& service)
    {
        auto& added = *replicas_.emplace_back(std::make_unique<standins::fake_replica>(loop_.context(), id));
        value(added.open());
        put_replica(added, service, "ready");
        return added;
    }
    void put_replica(standins::fake_replica& known, const std::string& service, const std::string& state)
    {
        const auto entry = known.entry(service, service == "lm" ? "m" : "", state);
        modify_store([&](standins::fake_store& store) { store.put("servers", known.id(), entry); });
    }

    /// A replica that a test runs itself; "lm" has engines.
    void put_replica_at(const std::string& address, const std::string& service, const std::string& id)
    {
        auto models = nlohmann::json::array();
        if (service == "lm") {
            models.push_back({{"Name", "m"}, {"Version", 1}, {"Adapters", nlohmann::json::array()}});
        }
        const nlohmann::json entry{{"Service", service}, {"Address", address}, {"Zone", "z1"},
                                   {"Version", "v1"},    {"Slots", 16},        {"State", "ready"},
                                   {"Models", models},   {"Sequence", 1}};
        modify_store([&](standins::fake_store& store) { store.put("servers", id, entry); });
    }

    running_gateway& add_gateway(const std::string& vm, const std::vector<std::string>& seeds = {})
    {
        gateways.push_back(std::make_unique<running_gateway>(vm, store_address_, seeds));
        return *gateways.back();
    }
    /// Serves no callers.
    running_gateway& add_gateway_without_callers(const std::string& vm)
    {
        auto settings = make_settings(vm, store_address_, {});
        settings.gateway.front_listen.clear();
        gateways.push_back(std::make_unique<running_gateway>(std::move(settings)));
        return *gateways.back();
    }
    /// Uses the store's second address.
    running_gateway& add_gateway_at_second(const std::string& vm, const std::vector<std::string>& seeds = {})
    {
        gateways.push_back(std::make_unique<running_gateway>(vm, second_store_address_, seeds));
        return *gateways.back();
    }

    /// Waits until the condition holds; false on a time-out of ten seconds.
    static bool eventually(const std::function<bool()>& holds)
    {
        const auto until = steady::now() + seconds(10);
        while (!holds()) {
            if (steady::now() >= until) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        return true;
    }

    net::http_result<net::http_response> send(const std::string& address, net::http_request request,
                                              milliseconds timeout = milliseconds(5000))
    {
        std::promise<net::http_result<net::http_response>> promise;
        loop_.post(
            [&] { net::start(loop_.context(), exchange(address, std::move(request), timeout, promise)); });
        return promise.get_future().get();
    }

    /// The response status; 0 if there was no response.
    int status_of(const std::string& address, net::http_request request)
    {
        const auto outcome = send(address, std::move(request));
        const auto* response = std::get_if<net::http_response>(&outcome);
        return response == nullptr ? 0 : response->status;
    }

    nlohmann::json body_of(const std::string& address, net::http_request request)
    {
        const auto outcome = send(address, std::move(request));
        const auto* response = std::get_if<net::http_response>(&outcome);
        return response == nullptr ? nlohmann::json() : nlohmann::json::parse(response->body, nullptr, false);
    }

private:
    net::task<void> exchange(std::string address, net::http_request request, milliseconds timeout,
                             std::promise<net::http_result<net::http_response>>& promise)
    {
        net::http_connection connection(loop_.context());
        const auto until = steady::now() + timeout;
        const auto connected = co_await connection.connect(address, until);
        net::http_result<net::http_response> outcome = net::http_failure{};
        if (std::holds_alternative<done>(connected)) {
            outcome = co_await net::exchange(connection, request, 8U << 20U, until);
        }
        promise.set_value(std::move(outcome));
    }

    wire::event_loop loop_;
    standins::fake_store store_;
    std::string store_address_;
    std::string second_store_address_;
    std::vector<std::unique_ptr<standins::fake_replica>> replicas_;
};

inline net::http_request make_request(const std::string& path, const std::string& id)
{
    net::http_request request;
    request.method = "POST";
    request.target = path;
    request.fields.add("Host", "h");
    request.fields.add("Attempt-Id", id);
    request.fields.add("Deadline-Ms", "3000");
    request.body = "hello";
    return request;
}

/// Streaming requests carry token counts.
inline net::http_request make_stream_request(const std::string& id, const std::string& path = "/flow/1")
{
    auto request = make_request(path, id);
    request.fields.add("Token-Counts", "5,9");
    return request;
}

} // namespace vanillagauge::gateway

#endif
