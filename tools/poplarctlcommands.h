#ifndef POPLARROAD_TOOLS_POPLARCTLCOMMANDS_H
#define POPLARROAD_TOOLS_POPLARCTLCOMMANDS_H

#include "operator.capnp.h"

#include <capnp/ez-rpc.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarroad::ctl
{

/** Process exit codes; scripts rely on them to distinguish the results of a change. */
enum class ExitCode : int {
    Done = 0,
    Usage = 1,
    Refused = 2,
    Conflict = 3,
    Unknown = 4,
    Unreachable = 5, ///< the daemon or its configuration store cannot be reached
    NotFound = 6, ///< the flow, target or service is unknown to the daemon
};

/** Values of the command-line flags. */
struct Options
{
    bool json = false;
    std::string changeId;
    std::optional<std::uint64_t> basedOn;
    std::string scope;
    std::uint32_t slots = 1;
    std::uint32_t connections = 2000;
    std::uint64_t delayMicroseconds = 0;
    double cost = 1.0;
};

/** RPC connection to a daemon. */
struct Session
{
    rpc::Operator::Client daemon;
    kj::WaitScope &waitScope;
    Options options;
};

using Arguments = std::vector<std::string>;

/** A subcommand. */
struct Command
{
    std::string_view name;
    std::vector<std::string_view> arguments; ///< names of the positional arguments
    std::string_view summary;
    ExitCode (*run)(Session &session, const Arguments &arguments);
};

/** @return the subcommand, or nullptr if the name is unknown */
const Command *findCommand(std::string_view name);
/** @return the text of `poplarctl --help` */
std::string generalHelp();
/** @return the text of `poplarctl COMMAND --help` */
std::string commandHelp(const Command &command);

} // namespace poplarroad::ctl

#endif
