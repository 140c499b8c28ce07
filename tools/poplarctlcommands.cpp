#include "poplarctlcommands.h"

#include "poplarctloutput.h"

#include <capnp/compat/json.h>
#include <capnp/message.h>

#include <array>
#include <charconv>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace poplarroad::ctl
{

namespace
{

std::string randomChangeId()
{
    std::random_device device;
    std::ostringstream text;
    text << "ctl-" << std::hex << device() << device();
    return text.str();
}

std::uint64_t activeRevision(Session &session)
{
    auto response = session.daemon.balancerStatusRequest().send().wait(session.waitScope);
    return response.getStatus().getRevision();
}

ExitCode exitCodeOf(rpc::ChangeResult result)
{
    switch (result) {
    case rpc::ChangeResult::ACCEPTED:
        return ExitCode::Done;
    case rpc::ChangeResult::REFUSED:
        return ExitCode::Refused;
    case rpc::ChangeResult::CONFLICT:
        return ExitCode::Conflict;
    case rpc::ChangeResult::UNKNOWN:
        return ExitCode::Unknown;
    case rpc::ChangeResult::UNREACHABLE:
        return ExitCode::Unreachable;
    }
    return ExitCode::Unknown;
}

ExitCode applyChange(Session &session, const std::string &changeId, rpc::Edit::Reader edit)
{
    auto request = session.daemon.applyRequest();
    auto change = request.initChange();
    change.setBasedOn(session.options.basedOn ? *session.options.basedOn : activeRevision(session));
    change.setChangeId(changeId);
    change.setEdit(edit);
    auto response = request.send().wait(session.waitScope);
    print(response.getOutcome(), changeId, session.options.json);
    return exitCodeOf(response.getOutcome().getResult());
}

template<typename Fill>
ExitCode applyEdit(Session &session, Fill fill)
{
    capnp::MallocMessageBuilder message;
    auto edit = message.initRoot<rpc::Edit>();
    fill(edit);
    const std::string id = session.options.changeId.empty() ? randomChangeId() : session.options.changeId;
    return applyChange(session, id, edit.asReader());
}

ExitCode putZone(Session &session, const Arguments &arguments)
{
    return applyEdit(session, [&](rpc::Edit::Builder edit) { edit.initPutZone().setName(arguments[0]); });
}

ExitCode removeZone(Session &session, const Arguments &arguments)
{
    return applyEdit(session, [&](rpc::Edit::Builder edit) { edit.setRemoveZone(arguments[0]); });
}

ExitCode putLink(Session &session, const Arguments &arguments)
{
    return applyEdit(session, [&](rpc::Edit::Builder edit) {
        auto link = edit.initPutLink();
        link.setFrom(arguments[0]);
        link.setTo(arguments[1]);
        link.setDelayMicroseconds(session.options.delayMicroseconds);
        link.setCost(session.options.cost);
    });
}

ExitCode putTarget(Session &session, const Arguments &arguments)
{
    return applyEdit(session, [&](rpc::Edit::Builder edit) {
        auto target = edit.initPutTarget();
        target.setName(arguments[0]);
        target.setService(arguments[1]);
        target.setZone(arguments[2]);
        target.setAddress(arguments[3]);
        target.setSlots(static_cast<std::uint16_t>(session.options.slots));
        target.setConnections(session.options.connections);
    });
}

ExitCode drainTarget(Session &session, const Arguments &arguments)
{
    return applyEdit(session, [&](rpc::Edit::Builder edit) { edit.setDrainTarget(arguments[0]); });
}

ExitCode activateTarget(Session &session, const Arguments &arguments)
{
    return applyEdit(session, [&](rpc::Edit::Builder edit) { edit.setActivateTarget(arguments[0]); });
}

ExitCode removeTarget(Session &session, const Arguments &arguments)
{
    return applyEdit(session, [&](rpc::Edit::Builder edit) { edit.setRemoveTarget(arguments[0]); });
}

ExitCode removeService(Session &session, const Arguments &arguments)
{
    return applyEdit(session, [&](rpc::Edit::Builder edit) { edit.setRemoveService(arguments[0]); });
}

/** Applies the edits of a file in order. Their change ids are numbered under one prefix, so the call can be retried. */
ExitCode applyFile(Session &session, const Arguments &arguments)
{
    std::ifstream file(arguments[0]);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        std::cerr << "poplarctl: cannot read file " << arguments[0] << "\n";
        return ExitCode::Usage;
    }
    capnp::MallocMessageBuilder message;
    auto edits = message.initRoot<rpc::EditList>();
    try {
        const capnp::JsonCodec codec;
        codec.decode(kj::StringPtr(text.str().c_str(), text.str().size()), edits);
    } catch (const kj::Exception &error) {
        std::cerr << "poplarctl: file " << arguments[0] << ": " << error.getDescription().cStr()
                  << "; expected {\"edits\": [...]} with edits as in schema/operator.capnp\n";
        return ExitCode::Usage;
    }
    const std::string prefix = session.options.changeId.empty() ? randomChangeId() : session.options.changeId;
    std::size_t number = 0;
    for (const auto edit : edits.asReader().getEdits()) {
        const ExitCode code = applyChange(session, prefix + "-" + std::to_string(++number), edit);
        if (code != ExitCode::Done) {
            return code;
        }
    }
    return ExitCode::Done;
}

ExitCode showConfiguration(Session &session, const Arguments & /*arguments*/)
{
    auto response = session.daemon.configurationRequest().send().wait(session.waitScope);
    print(response.getConfiguration(), session.options.json);
    return ExitCode::Done;
}

ExitCode showBalancer(Session &session, const Arguments & /*arguments*/)
{
    auto response = session.daemon.balancerStatusRequest().send().wait(session.waitScope);
    print(response.getStatus(), session.options.json);
    return ExitCode::Done;
}

ExitCode showZone(Session &session, const Arguments & /*arguments*/)
{
    auto response = session.daemon.zoneStatusRequest().send().wait(session.waitScope);
    print(response.getStatus(), session.options.json);
    return ExitCode::Done;
}

ExitCode showFleet(Session &session, const Arguments & /*arguments*/)
{
    auto response = session.daemon.fleetStatusRequest().send().wait(session.waitScope);
    print(static_cast<rpc::Operator::FleetStatusResults::Reader>(response), session.options.json);
    return ExitCode::Done;
}

std::optional<rpc::Scope> parseScope(std::string_view name)
{
    constexpr std::array names{ std::pair{ "balancer", rpc::Scope::BALANCER }, std::pair{ "zone", rpc::Scope::ZONE },
                                std::pair{ "fleet", rpc::Scope::FLEET } };
    for (const auto &[known, scope] : names) {
        if (name == known) {
            return scope;
        }
    }
    std::cerr << "poplarctl: invalid --scope value " << name << "; expected balancer, zone or fleet\n";
    return std::nullopt;
}

ExitCode showExplanation(Session &session, rpc::Explanation::Reader explanation)
{
    print(explanation, session.options.json);
    return explanation.getKnown() ? ExitCode::Done : ExitCode::NotFound;
}

ExitCode explainFlow(Session &session, const Arguments &arguments)
{
    std::uint64_t flow = 0;
    const std::string &text = arguments[0];
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), flow);
    const auto scope = parseScope(session.options.scope);
    if (error != std::errc() || end != text.data() + text.size() || !scope) {
        std::cerr << "poplarctl: invalid flow id " << text << "; expected a decimal number\n";
        return ExitCode::Usage;
    }
    auto request = session.daemon.explainFlowRequest();
    request.setFlow(flow);
    request.setScope(*scope);
    auto response = request.send().wait(session.waitScope);
    return showExplanation(session, response.getExplanation());
}

ExitCode explainTarget(Session &session, const Arguments &arguments)
{
    const auto scope = parseScope(session.options.scope);
    if (!scope) {
        return ExitCode::Usage;
    }
    auto request = session.daemon.explainTargetRequest();
    request.setTarget(arguments[0]);
    request.setScope(*scope);
    auto response = request.send().wait(session.waitScope);
    return showExplanation(session, response.getExplanation());
}

ExitCode explainService(Session &session, const Arguments &arguments)
{
    auto request = session.daemon.explainServiceRequest();
    request.setService(arguments[0]);
    auto response = request.send().wait(session.waitScope);
    return showExplanation(session, response.getExplanation());
}

const std::array Commands{
    Command{ "status", {}, "shows the status of the daemon", &showBalancer },
    Command{ "zone", {}, "shows the balancers in the daemon's zone", &showZone },
    Command{ "fleet", {}, "shows all zones and balancers with the active revision of each", &showFleet },
    Command{ "config", {}, "shows the active configuration of the daemon", &showConfiguration },
    Command{ "apply", { "FILE" }, "applies the edits of a JSON file in order", &applyFile },
    Command{ "put-zone", { "NAME" }, "declares a zone", &putZone },
    Command{ "remove-zone", { "NAME" }, "removes a zone that has no targets", &removeZone },
    Command{ "put-link", { "ZONE", "ZONE" }, "declares the link between two zones (--delay-us, --cost)", &putLink },
    Command{ "remove-service", { "NAME" }, "removes a service that has no targets", &removeService },
    Command{ "put-target",
             { "NAME", "SERVICE", "ZONE", "ADDRESS" },
             "declares a target (--slots, --connections)",
             &putTarget },
    Command{ "drain-target", { "NAME" }, "stops new work for a target; work in progress finishes", &drainTarget },
    Command{ "activate-target", { "NAME" }, "ends draining: the target receives new work again", &activateTarget },
    Command{ "remove-target", { "NAME" }, "removes a target", &removeTarget },
    Command{ "explain-flow", { "FLOW" }, "shows which target a flow is assigned to, and why (--scope)", &explainFlow },
    Command{
        "explain-target", { "NAME" }, "shows why a target does or does not receive work (--scope)", &explainTarget },
    Command{
        "explain-service", { "NAME" }, "shows to which zones the daemon sends new flows, and why", &explainService },
};

std::string usageOf(const Command &command)
{
    std::string usage = "poplarctl " + std::string(command.name);
    for (const std::string_view argument : command.arguments) {
        usage += " " + std::string(argument);
    }
    return usage;
}

constexpr std::string_view FlagHelp =
    "Flags: --daemon a.b.c.d:port  --output table|json\n"
    "       --change-id ID --based-on REVISION (changes)  --scope balancer|zone|fleet (explain)\n"
    "Exit codes: 0 done, 1 usage, 2 refused, 3 conflict, 4 unknown, 5 unreachable, 6 not found\n";

} // namespace

const Command *findCommand(std::string_view name)
{
    for (const Command &command : Commands) {
        if (command.name == name) {
            return &command;
        }
    }
    return nullptr;
}

std::string generalHelp()
{
    std::string help = "Usage: poplarctl COMMAND [ARGUMENTS] [FLAGS]\n";
    for (const Command &command : Commands) {
        help += "  " + usageOf(command) + "\n      " + std::string(command.summary) + "\n";
    }
    return help + std::string(FlagHelp);
}

std::string commandHelp(const Command &command)
{
    return "Usage: " + usageOf(command) + " [FLAGS]\n  " + std::string(command.summary) + "\n" + std::string(FlagHelp);
}

} // namespace poplarroad::ctl
