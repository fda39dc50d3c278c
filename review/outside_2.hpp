/// What lies around the gateways in the cases of this review: settings, replicas, clients and a record.
#ifndef VANILLAGAUGE_REVIEW_OUTSIDE_2_HPP
#define VANILLAGAUGE_REVIEW_OUTSIDE_2_HPP

#include "../standins/users/fake_store.hpp"
#include "net/http_client.hpp"
#include "net/http_service.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace vanillagauge::review {

/// Lines of record.txt, each with the milliseconds since the start.
class record {
public:
    explicit record(const std::filesystem::path& file) : out_(file), began_(steady::now()) {}
    void line(const std::string& text);

private:
    std::ofstream out_;
    time_point began_;
};

struct gateway_place {
    std::string vm;
    std::string zone;
    std::string front; ///< empty: a machine that serves no clients
    std::string ready;
    std::string directory;
    std::string peer;
    std::string relay;
};

/// Chooses free loopback ports for front machines in the zones, in turn, and for one storage machine in each.
std::vector<gateway_place> choose_places(net::loop& loop, std::size_t fronts,
                                         const std::vector<std::string>& zones);
/// Writes each gateway's settings to FOLDER/VM.json, as deploy/gateway.json.template does.
void write_settings(const std::filesystem::path& folder, const std::vector<gateway_place>& places,
                    const std::string& store);

/// Sends the request on a new connection.
net::task<net::http_result<net::http_response>> ask(net::loop& loop, std::string address,
                                                    net::http_request request, milliseconds within);
/// Until all front machines are ready; false after the time.
net::task<bool> wait_until_ready(net::loop& loop, std::vector<gateway_place> places, milliseconds within);

std::string padded_text(const std::string& item, std::uint64_t number, std::size_t bytes);

/// A model replica that streams events by the pages. A spoiled answer has wrong bytes in one event.
class model_replica {
public:
    model_replica(net::loop& loop, std::string id, const std::vector<std::string>& models,
                  std::uint64_t seed);

    result<std::string> open();
    nlohmann::json entry(const std::string& service, const std::string& zone) const;
    const std::string& id() const { return id_; }

    int slots = 16;
    milliseconds event_interval{35};
    std::size_t event_bytes = 320;
    double spoiled_share = 0; ///< of its answers
    std::size_t answers = 0;
    std::size_t spoiled = 0;
    std::function<void(const std::string&)> on_spoiled = [](const std::string&) {};

private:
    net::loop& loop_;
    std::string id_;
    std::string address_;
    std::mt19937_64 random_;
    int running_ = 0;
    std::uint64_t orders_ = 0;
    struct weights {
        std::uint64_t version = 1;
        time_point loads_until{};
    };
    std::map<std::string, weights> models_;
    net::http_service service_;

    net::task<void> serve(const net::http_request& request, net::responder& answer);
    net::task<void> order(const net::http_request& request, net::responder& answer);
    net::task<void> stream(const net::http_request& request, net::responder& answer);
    void spoil(std::string& data);
    bool is_loading() const;
    nlohmann::json model_entries() const;
};

} // namespace vanillagauge::review

#endif
