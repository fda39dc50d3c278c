/// vg-fake-platform: a stand-in for the platform's Object API, VM list and weight store.

#include "node/program.hpp"
#include "services.hpp"

#include <tclap/CmdLine.h>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace vanillagauge;
    TCLAP::CmdLine line("Stand-in for the platform", ' ', node::version());
    const TCLAP::ValueArg<std::string> listen("l", "listen", "Address", false, "127.0.0.1:0", "IP:PORT",
                                              line);
    const TCLAP::ValueArg<int> rate("r", "fetches", "Weight fetches granted a second", false, 10, "N", line);
    if (const auto end = node::parse_command_line(line, argc, argv)) {
        return end->code;
    }
    node::block_stop_signals();
    wire::set_http_threads(8);

    wire::event_loop loop;
    standins::platform_state state;
    standins::object_api objects(state, loop);
    standins::vm_list vms(state);
    standins::weight_store weights(rate.getValue());
    standins::platform_control control(state);
    wire::dispatcher calls{{}};
    calls.mount(objects, wire::role::anyone);
    calls.mount(vms, wire::role::anyone);
    calls.mount(weights, wire::role::anyone);
    calls.mount(control, wire::role::anyone);
    wire::http_server http(calls, {});
    const auto address = http.open(listen.getValue());
    if (!ok(address)) {
        std::cerr << describe(failure(address)) << "\n";
        return node::exit_failure;
    }
    node::print_ready("vg-fake-platform", {{"http_address", value(address)}});
    node::wait_for_stop();
    std::_Exit(node::exit_success); // a stand-in need not answer pending watches
}
