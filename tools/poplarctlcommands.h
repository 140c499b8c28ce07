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
    Refused = 2, ///< the change is invalid and was not applied
    Conflict = 3, ///< the object was changed after the revision that the change is based on
    Unknown = 4, ///< it is not known whether the change was applied; retry with the same change id
    Unreachable = 5, ///< the daemon or its configuration store cannot be reached
    NotFound = 6, ///< the flow, target or service is unknown to the daemon
};

/** Values of the command-line flags. */
struct Options
{
    bool json = false;
    std::string changeId; ///< empty for a random one
    std::optional<std::uint64_t> basedOn; ///< revision; the daemon's active revision if not set
    std::string scope; ///< balancers that explain queries: balancer, zone or fleet
    std::uint32_t slots = 1; ///< maximum number of concurrent requests of a target
    std::uint32_t connections = 2000; ///< maximum number of long-lived connections of a target
    std::uint64_t delayMicroseconds = 0;
    double cost = 1.0; ///< relative cost of a message on a link
};

/** RPC connection to a daemon, and the flags that apply to the command. */
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
