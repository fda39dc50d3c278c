/// Configuration objects as typed values: deployments and jobs.
#ifndef VANILLAGAUGE_CONFIG_SPECS_HPP
#define VANILLAGAUGE_CONFIG_SPECS_HPP

#include "base/base.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillagauge::config {

enum class target_kind { engine, service };
/// Whether the deployment's engines reject orders with an old fencing token.
enum class fencing_mode { enforced, ignored };
/// Whether a job prefers low staleness of samples or low idle time of the trainer.
enum class job_preference { staleness, idle };

struct target_spec {
    std::string id;
    std::string address;
    std::string failure_domain;
    bool leaving = false; ///< receives no new work
};

struct deployment_spec {
    std::string name;
    target_kind kind = target_kind::service;
    fencing_mode fencing = fencing_mode::ignored;
    milliseconds default_deadline{2000};
    std::vector<target_spec> targets;
};

struct job_spec {
    std::string name;
    std::string deployment;
    std::string scorer; ///< a deployment of kind service; empty: samples are not scored
    int group_size = 4;
    int groups_per_step = 8;
    int max_staleness = 2; ///< in weight versions behind the trainer
    int max_tokens = 64;
    int weight = 1; ///< share of the engines relative to other jobs
    job_preference preference = job_preference::staleness;
    bool plain =
        false; ///< baseline for comparisons: no lookahead, complete steps, drain-all swap, round robin
    std::vector<std::string> prompts;
};

/// `invalid_argument` names the object, the JSON path, and the expected and actual values.
result<deployment_spec> parse_deployment(const std::string& name, const std::string& spec_json);
result<job_spec> parse_job(const std::string& name, const std::string& spec_json);

/// Validates the spec of an object before it is accepted. `invalid_argument` also for an unknown kind.
result<done> check_object(const std::string& kind, const std::string& name, const std::string& spec_json);

} // namespace vanillagauge::config

#endif
