/// The settings file of one VM, shared by its programs.
#ifndef VANILLAGAUGE_CONFIG_SETTINGS_HPP
#define VANILLAGAUGE_CONFIG_SETTINGS_HPP

#include "base/base.hpp"

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

/// What vg-gateway listens on, and the bounds that the operator of the machines promised or asks for.
struct gateway_settings {
    std::string front_listen;       ///< callers; empty: this VM serves none
    std::string ready_listen;       ///< the platform's own checks; empty: none
    std::string directory_listen;   ///< callers that ask where to connect; empty: none
    std::string relay_listen;       ///< other gateways; empty: vg-gateway cannot run here
    std::string metrics_listen;     ///< empty: no metrics page
    std::string model_order_holder; ///< the name under which weights are ordered; empty: the VM's
    milliseconds stop_grace{8000};  ///< from SIGTERM to SIGKILL
    milliseconds order_lease{3000}; ///< orders of two holders must lie this far apart
    milliseconds advice_time{2000}; ///< how long callers may keep an address
};

/// How vg-entry decides under load: `plain` (targets in turn, no limits, unlimited retries) is the baseline
/// of measurements and no mode to serve in.
enum class entry_policy { adaptive, plain };

struct settings {
    std::string file; ///< that they were read from
    std::string vm;
    std::string failure_domain;
    std::string data_folder; ///< empty: this VM keeps nothing
    std::string log_level = "info";
    std::string span_file;   ///< empty: spans are off
    std::string record_file; ///< where vg-rollout records what its decisions are fed with; empty: nowhere
    int http_threads = 8;
    milliseconds drain_time{6000}; ///< how long a stopping entry serves after it left the address advice
    std::string platform;          ///< address of the platform's APIs
    token_settings tokens;
    keeper_settings keeper;
    listen_settings entry;
    config::entry_policy entry_policy = config::entry_policy::adaptive;
    listen_settings rollout;
    gateway_settings gateway;
};

/// Reads and checks a settings file. An error names the file, the path in it, what was expected and what was
/// found.
result<settings> load_settings(const std::string& path);
/// The same for text; `origin` stands for the file's name in errors.
result<settings> parse_settings(const std::string& text, const std::string& origin);

} // namespace vanillagauge::config

#endif
