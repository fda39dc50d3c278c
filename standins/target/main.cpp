/// vg-fake-target: a stand-in for a model engine or a plain service.

#include "engine.hpp"
#include "node/program.hpp"
#include "observe/trace.hpp"
#include "plain_service.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace vanillagauge;
    TCLAP::CmdLine line("Stand-in for a target", ' ', node::version());
    const TCLAP::ValueArg<std::string> listen("l", "listen", "Address", false, "127.0.0.1:0", "IP:PORT",
                                              line);
    const TCLAP::ValueArg<std::string> kind("k", "kind", "engine or service", true, "", "KIND", line);
    const TCLAP::ValueArg<int> chunk_ms("", "chunk-ms", "Engine: time for a chunk", false, 20, "MS", line);
    const TCLAP::ValueArg<int> chunk_tokens("", "chunk-tokens", "Engine: tokens in a chunk", false, 8, "N",
                                            line);
    const TCLAP::ValueArg<int> capacity("", "capacity", "Streams or calls served at once", false, 16, "N",
                                        line);
    const TCLAP::ValueArg<int> load_ms("", "load-ms", "Engine: time to load a version", false, 300, "MS",
                                       line);
    const TCLAP::ValueArg<int> service_ms("", "service-ms", "Service: time for a call", false, 5, "MS", line);
    const TCLAP::ValueArg<int> first_version("", "weights", "Engine: version at start", false, 1, "N", line);
    const TCLAP::ValueArg<int> seed("", "seed", "Seed of lengths and texts", false, 1, "N", line);
    const TCLAP::ValueArg<std::string> spans("", "spans", "File for spans", false, "", "FILE", line);
    const TCLAP::SwitchArg fencing("", "enforce-fencing", "Engine: refuse orders with an old number", line);
    if (const auto end = node::parse_command_line(line, argc, argv)) {
        return end->code;
    }
    node::block_stop_signals();
    wire::set_http_threads(4);
    observe::open_span_file(spans.getValue(), "vg-fake-target", "");

    wire::event_loop loop;
    standins::fault_state faults;
    standins::target_control control(faults);
    standins::engine_options engine_options;
    engine_options.chunk_time = milliseconds{chunk_ms.getValue()};
    engine_options.chunk_tokens = chunk_tokens.getValue();
    engine_options.capacity = capacity.getValue();
    engine_options.load_time = milliseconds{load_ms.getValue()};
    engine_options.version = static_cast<std::uint64_t>(first_version.getValue());
    engine_options.seed = static_cast<std::uint64_t>(seed.getValue());
    engine_options.enforce_fencing = fencing.getValue();
    standins::engine engine(engine_options, faults, loop);
    standins::plain_service service({milliseconds{service_ms.getValue()}, capacity.getValue()}, faults, loop);
    wire::dispatcher calls{{}};
    calls.mount(control, wire::role::anyone);
    if (kind.getValue() == "engine") {
        calls.mount(engine, wire::role::anyone);
    }
    else if (kind.getValue() == "service") {
        calls.mount(service, wire::role::anyone);
    }
    else {
        std::cerr << "expected the kind engine or service, found \"" << kind.getValue() << "\"\n";
        return node::exit_usage;
    }
    wire::http_server http(calls, {});
    const auto address = http.open(listen.getValue());
    if (!ok(address)) {
        std::cerr << describe(failure(address)) << "\n";
        return node::exit_failure;
    }
    node::print_ready("vg-fake-target", {{"http_address", value(address)}});
    node::wait_for_stop();
    std::_Exit(node::exit_success); // a stand-in need not finish its open streams
}
