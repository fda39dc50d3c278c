/// vgctl: the operators' command line.

#include "ctl/commands.hpp"
#include "node/program.hpp"
#include "wire/wire.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace vanillagauge;

constexpr const char* usage = "vgctl: apply FILE | get KIND NAME | list [KIND] | delete KIND NAME | status | "
                              "explain SUBJECT | drain VM";

struct command_line {
    std::string server;
    std::string token;
    ctl::output form = ctl::output::table;
    std::vector<std::string> words;
};

error usage_error()
{
    return {error_code::invalid_argument, run_state::not_run, usage};
}

ctl::printed run(const ctl::session& to, const std::vector<std::string>& words)
{
    const auto& command = words.front();
    const auto count = words.size();
    if (command == "apply" && count == 2) {
        return ctl::apply(to, words[1]);
    }
    if (command == "get" && count == 3) {
        return ctl::get(to, words[1], words[2]);
    }
    if (command == "list" && count <= 2) {
        return ctl::list(to, count == 2 ? words[1] : "");
    }
    if (command == "delete" && count == 3) {
        return ctl::remove(to, words[1], words[2]);
    }
    if (command == "status" && count == 1) {
        return ctl::status(to);
    }
    if (command == "explain" && count == 2) {
        return ctl::explain(to, words[1]);
    }
    if (command == "drain" && count == 2) {
        return ctl::drain(to, words[1]);
    }
    return usage_error();
}

std::string from_environment(const char* variable)
{
    const char* text = std::getenv(variable); // NOLINT(concurrency-mt-unsafe): before any thread starts
    return text == nullptr ? "" : text;
}

} // namespace

int main(int argc, char** argv)
{
    command_line chosen;
    try {
        TCLAP::CmdLine line(usage, ' ', "0.1.0");
        line.setExceptionHandling(false);
        const TCLAP::ValueArg<std::string> server("s", "server",
                                                  "Operator address of a keeper (or VGCTL_SERVER)", false,
                                                  from_environment("VGCTL_SERVER"), "IP:PORT", line);
        const TCLAP::ValueArg<std::string> token("t", "token", "Operator's token (or VGCTL_TOKEN)", false,
                                                 from_environment("VGCTL_TOKEN"), "TOKEN", line);
        std::vector<std::string> forms{"table", "json"};
        TCLAP::ValuesConstraint<std::string> form_constraint(forms);
        const TCLAP::ValueArg<std::string> form("o", "output", "Form of the answer", false, "table",
                                                &form_constraint, line);
        const TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its words", true, "WORD",
                                                          line);
        line.parse(argc, argv);
        chosen = {server.getValue(), token.getValue(),
                  form.getValue() == "json" ? ctl::output::json : ctl::output::table, words.getValue()};
    }
    catch (const TCLAP::ExitException& end) {
        return end.getExitStatus() == 0 ? node::exit_success : node::exit_usage;
    }
    catch (const TCLAP::ArgException& wrong) {
        std::cerr << "vgctl: " << wrong.error() << " " << wrong.argId() << " (try --help)\n";
        return node::exit_usage;
    }
    if (chosen.server.empty()) {
        std::cerr << "vgctl: expected a server: --server IP:PORT or VGCTL_SERVER\n";
        return node::exit_usage;
    }
    wire::set_http_threads(2);
    wire::event_loop loop;
    wire::http_channel link(loop, chosen.server);
    const auto outcome = run({link, chosen.token, chosen.form}, chosen.words);
    if (!ok(outcome)) {
        std::cerr << "vgctl: " << describe(failure(outcome)) << "\n";
        return failure(outcome).detail == usage ? node::exit_usage : node::exit_failure;
    }
    std::cout << value(outcome);
    return node::exit_success;
}
