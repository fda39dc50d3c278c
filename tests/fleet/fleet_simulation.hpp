/// Simulates the failure detectors of a whole fleet in one thread; messages arrive one step later.
#ifndef VANILLAGAUGE_TESTS_FLEET_FLEET_SIMULATION_HPP
#define VANILLAGAUGE_TESTS_FLEET_FLEET_SIMULATION_HPP

#include "fleet/fleet.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillagauge::fleet {

class fleet_simulation {
public:
    static constexpr milliseconds step{50};

    struct machine {
        std::unique_ptr<failure_detector> detector;
        std::vector<datagram> inbox;
        bool running = true; ///< false: dead
        bool paused = false; ///< its datagrams are queued
        std::size_t sent_bytes = 0;
        std::size_t received_bytes = 0;
        std::size_t sent = 0;
        std::size_t compared_bytes = 0;
        std::uint64_t config_version = 0;
    };

    explicit fleet_simulation(std::size_t size, std::size_t domains = 4, std::uint64_t seed = 7) : seed_(seed)
    {
        for (std::size_t index = 0; index < size; ++index) {
            start(vm_at(index), "domain-" + std::to_string(index % domains), 1);
        }
        std::vector<member_update> all;
        for (const auto& [vm, one] : machines_) {
            all.push_back({one.detector->view().self(), member_state::alive});
        }
        for (auto& [vm, one] : machines_) {
            one.detector->merge_diff(all, now_);
        }
    }

    static std::string vm_at(std::size_t index)
    {
        const auto digits = std::to_string(index);
        return "vm-" + std::string(3 - std::min<std::size_t>(3, digits.size()), '0') + digits;
    }

    /// Starts, restarts or replaces a VM under this incarnation, with an empty view.
    failure_detector& start(const std::string& vm, const std::string& domain, std::uint64_t incarnation)
    {
        node self;
        self.vm = vm;
        self.failure_domain = domain;
        self.incarnation = incarnation;
        self.peer_address = vm + ":7100-10.0.0";
        self.operator_address = vm + ":7200-10.0.0";
        self.datagram_address = vm;
        self.processes = {{"entry", incarnation, vm + ":8000-10.0.0", vm + ":8100-10.0.0", false, 0},
                          {"rollout", incarnation, vm + ":8200-10.0.0", vm + ":8300-10.0.0", false, 0}};
        auto& slot = machines_[vm];
        slot.detector =
            std::make_unique<failure_detector>(self, detector_timing{}, membership_timing{}, ++seed_, now_);
        slot.running = true;
        slot.paused = false;
        slot.inbox.clear();
        return *slot.detector;
    }

    void run(milliseconds span)
    {
        for (const auto end = now_ + span; now_ < end;) {
            one_step();
        }
    }

    /// Runs until `condition` or for `timeout`; returns the simulated time.
    milliseconds run_until(const std::function<bool()>& condition, milliseconds timeout)
    {
        const auto start = now_;
        while (!condition() && now_ - start < timeout) {
            one_step();
        }
        return std::chrono::duration_cast<milliseconds>(now_ - start);
    }

    /// Sets a VM's configuration version; the others adopt it when a datagram mentions it.
    void set_config(machine& one, std::uint64_t version)
    {
        if (version > one.config_version) {
            one.config_version = version;
            one.detector->set_config({version, version});
        }
    }

    /// A VM's first contact with a peer.
    void join(const std::string& vm, const std::string& peer) { compare(vm, peer); }

    machine& at(const std::string& vm) { return machines_.at(vm); }
    std::map<std::string, machine>& machines() { return machines_; }
    time_point now() const { return now_; }

    member_state seen(const std::string& by, const std::string& vm) const
    {
        for (const auto& entry : machines_.at(by).detector->view().members()) {
            if (entry.info.vm == vm) {
                return entry.state;
            }
        }
        return member_state::left;
    }

    /// Whether all running VMs but `vm` see it in this state.
    bool all_see(const std::string& vm, member_state state) const
    {
        for (const auto& [other, one] : machines_) {
            if (other != vm && one.running && !one.paused && seen(other, vm) != state) {
                return false;
            }
        }
        return true;
    }

    bool all_alive_everywhere() const
    {
        for (const auto& [vm, one] : machines_) {
            if (one.running &&
                one.detector->view().in_state(member_state::alive).size() + 1 != machines_.size()) {
                return false;
            }
        }
        return true;
    }

    /// Whether a datagram is delivered, by sender and receiver.
    std::function<bool(const std::string& from, const std::string& to)> passes =
        [](const std::string&, const std::string&) { return true; };

private:
    std::uint64_t seed_;
    std::map<std::string, machine> machines_;
    time_point now_{};

    void one_step()
    {
        now_ += step;
        std::vector<std::pair<std::string, detector_action>> actions;
        for (auto& [vm, one] : machines_) {
            if (!one.running || one.paused) {
                continue;
            }
            const auto inbox = std::exchange(one.inbox, {});
            for (auto& action : one.detector->tick(now_)) {
                actions.emplace_back(vm, std::move(action));
            }
            for (const auto& message : inbox) {
                set_config(one, message.config.newest_version);
                for (auto& action : one.detector->receive(message, now_)) {
                    actions.emplace_back(vm, std::move(action));
                }
            }
        }
        for (auto& [vm, action] : actions) {
            perform(vm, action);
        }
    }

    void perform(const std::string& vm, detector_action& action)
    {
        if (auto* send = std::get_if<send_datagram>(&action)) {
            auto& from = machines_.at(vm);
            const auto size = estimated_size(send->message);
            from.sent_bytes += size;
            ++from.sent;
            const auto to = machines_.find(send->address);
            if (to != machines_.end() && to->second.running && passes(vm, send->address)) {
                to->second.received_bytes += size;
                to->second.inbox.push_back(std::move(send->message));
            }
            return;
        }
        const auto peer = std::get<compare_views>(action).peer_address;
        const auto other = peer.substr(0, peer.find(':'));
        if (machines_.contains(other) && machines_.at(other).running && passes(vm, other) &&
            passes(other, vm)) {
            compare(vm, other);
        }
    }

    void compare(const std::string& vm, const std::string& other)
    {
        constexpr std::size_t summary_bytes = 26;
        auto& here = machines_.at(vm);
        auto& there = machines_.at(other);
        const auto summaries = here.detector->view().summary();
        const auto found = there.detector->view().compare(summaries);
        std::size_t bytes = summaries.size() * summary_bytes + found.wanted.size() * sizeof(std::uint64_t);
        const auto answer = here.detector->view().updates_for(found.wanted);
        for (const auto* updates : {&found.newer_here, &answer}) {
            for (const auto& update : *updates) {
                bytes += estimated_size(update);
            }
        }
        here.detector->merge_diff(found.newer_here, now_);
        there.detector->merge_diff(answer, now_);
        here.compared_bytes += bytes;
        there.compared_bytes += bytes;
    }
};

} // namespace vanillagauge::fleet

#endif
