/// The settings file of a VM, shared by its programs.
#ifndef VANILLAGAUGE_CONFIG_SETTINGS_HPP
#define VANILLAGAUGE_CONFIG_SETTINGS_HPP

#include "base/base.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace vanillagauge::config {

struct token_settings {
    std::string caller;
    std::string trainer;
    std::string operators;
    std::string peer;
};

struct keeper_settings {
    std::string peer_listen = "127.0.0.1:0";
    std::string operator_listen = "127.0.0.1:0";
    std::string address; ///< where the programs of this VM reach their keeper
    std::vector<std::string> seeds;
};

struct listen_settings {
    std::string http_listen = "127.0.0.1:0";
    std::string peer_listen = "127.0.0.1:0";
};

/// Listen addresses of vg-gateway, and time limits set by the operator.
struct gateway_settings {
    std::string front_listen;         ///< for callers; empty: this VM serves none
    std::string ready_listen;         ///< for the platform's readiness checks; empty: none
    std::string directory_listen;     ///< for callers that look up addresses; empty: none
    std::string relay_listen;         ///< for other gateways; empty: vg-gateway cannot run here
    std::string metrics_listen;       ///< for metrics; empty: none
    std::string model_order_holder;   ///< holder name for orders to load weights; empty: the VM's name
    milliseconds stop_grace{8000};    ///< from SIGTERM to SIGKILL
    milliseconds order_lease{3000};   ///< minimum time between orders of two holders
    milliseconds advice_time{2000};   ///< how long callers may cache an address
    double cpu_share = 0;             ///< processor of this VM in cores; 0: unknown
    std::size_t memory_bytes = 0;     ///< at which the process is killed; 0: unknown
    std::size_t file_descriptors = 0; ///< open at once; 0: what the system allows the process
    std::string duties_address;       ///< of the platform's calls for one gateway at a time; empty: none
    milliseconds usage_window{0};     ///< usage is reported by windows of this length; 0: not at all
    milliseconds usage_due{10000};    ///< from a window's end until its report is due
    /// Plain requests of a service with more pairs of gateway and replica are relayed through hubs.
    std::size_t max_direct_pairs = 64;
    std::size_t running_batches = 128; ///< batches that run at this gateway at a time
};

/// How vg-entry balances load. `plain` (round robin, no limits, unlimited retries) is a baseline for
/// measurements and not meant for production.
enum class entry_policy { adaptive, plain };

struct settings {
    std::string file; ///< path of the settings file
    std::string vm;
    std::string failure_domain;
    std::string data_folder; ///< empty: this VM stores nothing on disk
    std::string log_level = "info";
    std::string span_file;   ///< empty: no spans are written
    std::string record_file; ///< where vg-rollout records the inputs of its decisions; empty: off
    int http_threads = 8;
    milliseconds drain_time{6000}; ///< how long a stopping entry serves after leaving the address advice
    std::string platform;          ///< address of the platform's APIs
    token_settings tokens;
    keeper_settings keeper;
    listen_settings entry;
    config::entry_policy entry_policy = config::entry_policy::adaptive;
    listen_settings rollout;
    gateway_settings gateway;
};

/// Reads and validates a settings file. An error names the file, the JSON path, and the expected and actual
/// values.
result<settings> load_settings(const std::string& path);
/// As `load_settings`, from text; `origin` replaces the file name in errors.
result<settings> parse_settings(const std::string& text, const std::string& origin);

} // namespace vanillagauge::config

#endif
