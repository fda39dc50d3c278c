/// vgctl: the operators' command line.

#include "ctl/advice.hpp"
#include "ctl/commands.hpp"
#include "ctl/object_file.hpp"
#include "ctl/queries.hpp"
#include "node/program.hpp"
#include "wire/wire.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace vanillagauge;

constexpr const char* usage = "vgctl: apply -f FILE | check -f FILE | get KIND NAME | list [KIND] | watch "
                              "[KIND] | delete KIND NAME | status | explain SUBJECT | drain VM | trace ID";

struct command_line {
    std::string server;
    std::string token;
    ctl::output_format format = ctl::output_format::table;
    ctl::apply_options apply;
    int count = 0;
    std::vector<std::string> spans;
    std::vector<std::string> logs;
    std::vector<std::string> words;
};

struct usage_error {};
using outcome = std::variant<done, error, usage_error>;

outcome to_outcome(result<done> from)
{
    return ok(from) ? outcome(done{}) : outcome(failure(from));
}

outcome run_check(const std::string& file)
{
    const auto objects = ctl::read_objects(file);
    if (!ok(objects)) {
        return failure(objects);
    }
    const auto checked = ctl::check_objects(value(objects));
    if (ok(checked)) {
        std::cout << file << ": " << value(objects).size() << " objects are valid\n";
    }
    return to_outcome(checked);
}

/// Runs a command that needs no keeper; empty for the others.
std::optional<outcome> run_offline(const command_line& chosen)
{
    const auto& words = chosen.words;
    if (words.front() == "check" && words.size() == 1 && !chosen.apply.file.empty()) {
        return run_check(chosen.apply.file);
    }
    if (words.front() == "trace" && words.size() >= 2) {
        auto files = chosen.spans;
        files.insert(files.end(), words.begin() + 2, words.end());
        return to_outcome(ctl::trace(std::cout, chosen.format, words[1], files));
    }
    if (words.front() == "explain" && words.size() >= 2 && !chosen.logs.empty()) {
        auto files = chosen.logs;
        files.insert(files.end(), words.begin() + 2, words.end());
        return to_outcome(ctl::explain_logs(std::cout, chosen.format, words[1], files));
    }
    return std::nullopt;
}

outcome run(const ctl::session& keeper, const command_line& chosen)
{
    const auto& words = chosen.words;
    const auto& command = words.front();
    const auto count = words.size();
    if (command == "apply" && count == 1 && !chosen.apply.file.empty()) {
        return to_outcome(ctl::apply(keeper, chosen.apply));
    }
    if (command == "get" && count == 3) {
        return to_outcome(ctl::get(keeper, words[1], words[2]));
    }
    if (command == "list" && count <= 2) {
        return to_outcome(ctl::list(keeper, count == 2 ? words[1] : ""));
    }
    if (command == "watch" && count <= 2) {
        return to_outcome(ctl::watch(keeper, count == 2 ? words[1] : "", chosen.count));
    }
    if (command == "delete" && count == 3) {
        return to_outcome(ctl::remove(keeper, words[1], words[2]));
    }
    if (command == "status" && count == 1) {
        return to_outcome(ctl::status(keeper));
    }
    if (command == "explain" && count == 2) {
        return to_outcome(ctl::explain(keeper, words[1], chosen.spans));
    }
    if (command == "drain" && count == 2) {
        return to_outcome(ctl::drain(keeper, words[1]));
    }
    return usage_error{};
}

std::string from_environment(const char* variable)
{
    const char* text = std::getenv(variable); // NOLINT(concurrency-mt-unsafe): before any thread starts
    return text == nullptr ? "" : text;
}

std::variant<command_line, node::exit_now> parse_arguments(int argc, char** argv)
{
    TCLAP::CmdLine line(usage, ' ', node::version());
    const TCLAP::ValueArg<std::string> server("s", "server", "Operator address of a keeper (or VGCTL_SERVER)",
                                              false, from_environment("VGCTL_SERVER"), "IP:PORT", line);
    const TCLAP::ValueArg<std::string> token("t", "token", "Operator's token (or VGCTL_TOKEN)", false,
                                             from_environment("VGCTL_TOKEN"), "TOKEN", line);
    std::vector<std::string> forms{"table", "json"};
    TCLAP::ValuesConstraint<std::string> form_constraint(forms);
    const TCLAP::ValueArg<std::string> form("o", "output", "Form of the answer", false, "table",
                                            &form_constraint, line);
    const TCLAP::ValueArg<std::string> file("f", "file", "apply, check: objects as JSON; - is standard input",
                                            false, "", "FILE", line);
    const TCLAP::ValueArg<std::uint64_t> version(
        "", "from-version", "apply: the version the change was made from; 0: create", false, 0, "N", line);
    const TCLAP::SwitchArg wait("w", "wait", "apply: wait until every live VM holds it", line);
    const TCLAP::ValueArg<int> wait_s("", "wait-s", "apply: longest wait", false, 30, "S", line);
    const TCLAP::ValueArg<int> count("n", "count", "watch: end after this many changes", false, 0, "N", line);
    const TCLAP::MultiArg<std::string> spans("", "spans", "trace, explain: a file of spans", false, "FILE",
                                             line);
    const TCLAP::MultiArg<std::string> logs("", "logs", "explain: a file of collected log lines", false,
                                            "FILE", line);
    const TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its words", true, "WORD", line);
    if (const auto end = node::parse_command_line(line, argc, argv)) {
        return *end;
    }
    command_line chosen;
    chosen.server = server.getValue();
    chosen.token = token.getValue();
    chosen.format = form.getValue() == "json" ? ctl::output_format::json : ctl::output_format::table;
    chosen.apply.file = file.getValue();
    if (version.isSet()) {
        chosen.apply.version = version.getValue();
    }
    chosen.apply.wait = wait.getValue();
    chosen.apply.wait_time = seconds{wait_s.getValue()};
    chosen.count = count.getValue();
    chosen.spans = spans.getValue();
    chosen.logs = logs.getValue();
    chosen.words = words.getValue();
    if (chosen.words.size() == 2 && (chosen.words[0] == "apply" || chosen.words[0] == "check")) {
        chosen.apply.file = chosen.words[1];
        chosen.words.pop_back();
    }
    return chosen;
}

int report(const outcome& ended, const command_line& chosen)
{
    if (std::holds_alternative<done>(ended)) {
        return node::exit_success;
    }
    if (std::holds_alternative<usage_error>(ended)) {
        std::cerr << "vgctl: no such command, or not these words: expected " << usage << "\n";
        return node::exit_usage;
    }
    const auto& failed = std::get<error>(ended);
    if (chosen.format == ctl::output_format::json) {
        std::cerr << wire::encode(wire::codec::json, wire::to_message(failed)) << "\n";
    }
    else {
        std::cerr << "vgctl: " << describe(failed) << "\nnext: " << ctl::advice(failed) << "\n";
    }
    return ctl::exit_code(failed);
}

} // namespace

int main(int argc, char** argv)
{
    const auto parsed = parse_arguments(argc, argv);
    if (const auto* end = std::get_if<node::exit_now>(&parsed)) {
        return end->code;
    }
    const auto& chosen = std::get<command_line>(parsed);
    for (const auto& word : chosen.words) {
        if (word.starts_with("--")) {
            std::cerr << "vgctl: unknown option " << word << " (try --help)\n";
            return node::exit_usage;
        }
    }
    if (const auto ended = run_offline(chosen)) {
        return report(*ended, chosen);
    }
    if (chosen.server.empty()) {
        std::cerr << "vgctl: expected a server: --server IP:PORT or VGCTL_SERVER\n";
        return node::exit_usage;
    }
    wire::set_http_threads(2);
    wire::event_loop loop;
    wire::http_channel channel(loop, chosen.server);
    return report(run({channel, chosen.token, chosen.format, std::cout}, chosen), chosen);
}
