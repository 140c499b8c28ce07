#include "host/flagnames.h"
#include "operator.capnp.h"
#include "poplarctlcommands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <capnp/ez-rpc.h>

#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, daemon, "127.0.0.1:7001", "operator address of any daemon, a.b.c.d:port");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(std::string, change_id, "", "change id; a retry with the same id is not applied twice (default: random)");
ABSL_FLAG(std::int64_t, based_on, -1, "revision that the change is based on (default: the daemon's active revision)");
ABSL_FLAG(std::string, scope, "fleet", "balancers that explain queries: balancer, zone or fleet");
ABSL_FLAG(std::uint32_t, slots, 1, "put-target: maximum number of concurrent requests");
ABSL_FLAG(std::uint32_t, connections, 2000, "put-target: maximum number of long-lived connections");
ABSL_FLAG(std::uint64_t, delay_us, 0, "put-link: one-way delay in microseconds");
ABSL_FLAG(double, cost, 1.0, "put-link: relative cost of a message");

using namespace poplarroad::ctl;

namespace
{

bool isHelpRequested(const std::vector<char *> &arguments)
{
    for (const char *argument : arguments) {
        if (std::string_view(argument) == "--help" || std::string_view(argument) == "-h") {
            return true;
        }
    }
    return false;
}

Options optionsFromFlags()
{
    Options options;
    options.json = absl::GetFlag(FLAGS_output) == "json";
    options.changeId = absl::GetFlag(FLAGS_change_id);
    if (absl::GetFlag(FLAGS_based_on) >= 0) {
        options.basedOn = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_based_on));
    }
    options.scope = absl::GetFlag(FLAGS_scope);
    options.slots = absl::GetFlag(FLAGS_slots);
    options.connections = absl::GetFlag(FLAGS_connections);
    options.delayMicroseconds = absl::GetFlag(FLAGS_delay_us);
    options.cost = absl::GetFlag(FLAGS_cost);
    return options;
}

ExitCode run(const Command &command, const Arguments &arguments, const Options &options)
{
    try {
        capnp::EzRpcClient client(absl::GetFlag(FLAGS_daemon));
        Session session{ client.getMain<poplarroad::rpc::Operator>(), client.getWaitScope(), options };
        return command.run(session, arguments);
    } catch (const kj::Exception &error) {
        std::cerr << "poplarctl: cannot reach daemon " << absl::GetFlag(FLAGS_daemon) << ": "
                  << error.getDescription().cStr() << "\n";
        return ExitCode::Unreachable;
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<char *> allArguments(argv, argv + argc);
    const std::string name = argc > 1 && argv[1][0] != '-' ? argv[1] : "";
    const Command *helpTopic = findCommand(name);
    if (isHelpRequested(allArguments)) {
        std::cout << (helpTopic ? commandHelp(*helpTopic) : generalHelp());
        return static_cast<int>(ExitCode::Done);
    }
    poplarroad::normalizeFlagNames(argc, argv);
    absl::SetProgramUsageMessage(generalHelp());
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    Arguments arguments(positional.begin() + 1, positional.end());
    const Command *command = arguments.empty() ? nullptr : findCommand(arguments.front());
    if (!command) {
        std::cerr << generalHelp();
        return static_cast<int>(ExitCode::Usage);
    }
    arguments.erase(arguments.begin());
    if (arguments.size() != command->arguments.size()) {
        std::cerr << commandHelp(*command);
        return static_cast<int>(ExitCode::Usage);
    }
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "table" && output != "json") {
        std::cerr << "poplarctl: invalid --output value " << output << "; expected table or json\n";
        return static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(run(*command, arguments, optionsFromFlags()));
}
