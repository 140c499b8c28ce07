#ifndef POPLARROAD_HOST_TASKMESSAGES_H
#define POPLARROAD_HOST_TASKMESSAGES_H

#include "poplarroad/configsync.h"
#include "poplarroad/dispatcher.h"
#include "poplarroad/fleetmessages.h"
#include "poplarroad/forward.h"
#include "poplarroad/membership.h"
#include "poplarroad/router.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplarroad
{

/** This balancer applied a new configuration. */
struct ConfigurationChanged
{
    ConfigurationPtr configuration;
};

/** The membership produced a new view. */
struct FleetViewChanged
{
    std::shared_ptr<const FleetView> view;
};

/** Close the sockets and leave the event loop. */
struct StopTask
{
};

/** The connection to a balancer broke or could not be established. */
struct PeerLinkLost
{
    HostAddress host;
};

/** The event loop was blocked for longer than the suspicion timeout. */
struct ProcessPaused
{
    Incarnation incarnation; ///< with which this balancer rejoins the fleet
};

/** Status of the dispatchers of this process. */
struct DispatchStatus
{
    std::vector<PoolStatus> pools;
    bool idle = true;
};

/** Status of a balancer, for the operator. */
struct HostStatus
{
    std::shared_ptr<const FleetView> view;
    ConfigurationPtr configuration;
    bool platformReachable = false;
    DispatchStatus dispatch;
    RouterStatus router;
    MembershipStatus membership;
};

/** Ask a task for its part of the status; the callback runs in the task's thread and must only post. */
struct DispatchStatusQuery
{
    std::function<void(DispatchStatus)> reply;
};
struct RouterStatusQuery
{
    std::function<void(RouterStatus)> reply;
};
struct MembershipStatusQuery
{
    std::function<void(std::shared_ptr<const FleetView>, MembershipStatus)> reply;
};
struct ConfigStatusQuery
{
    std::function<void(ConfigurationPtr, bool platformReachable)> reply;
};

/** Ask why a flow has its target, a target its load, or the new flows of a service their zone. */
struct ExplainFlowQuery
{
    FlowId flow;
    std::function<void(FlowExplanation)> reply;
};
struct ExplainTargetQuery
{
    TargetId target;
    std::function<void(std::vector<std::string>)> reply;
};
struct ExplainServiceQuery
{
    ServiceId service;
    std::function<void(std::vector<std::string>)> reply;
};

/** A change requested by an operator; the callback runs in the configuration task's thread and must only post. */
struct OperatorChange
{
    ChangeRequest request;
    std::function<void(ChangeOutcome)> reply;
};

/** A target was removed from the configuration before a request could be sent to it. */
struct TargetRemoved
{
    PoolId pool;
    TargetLost lost;
};

/** Call back once when the task has nothing in progress; the callback runs in the task's thread and must only post. */
struct NotifyWhenIdle
{
    std::function<void()> reply;
};

/** Stop reading from callers; replies are still sent. */
struct StopReading
{
};

/** Messages to the task that owns the sockets of callers and the router. */
using CallerTaskMessage =
    std::variant<ConfigurationChanged, FleetViewChanged, ForwardedReply, ForwardedMessage, PeerLinkLost,
                 RouterStatusQuery, ExplainServiceQuery, NotifyWhenIdle, StopReading, StopTask>;

/** Messages to the task that owns the pools and the connections to targets. */
using DispatchTaskMessage =
    std::variant<ConfigurationChanged, FleetViewChanged, DispatchLocally, TargetRemoved, DispatchStatusQuery,
                 ExplainFlowQuery, ExplainTargetQuery, NotifyWhenIdle, StopTask>;

/** Send to another balancer over its connection. */
struct SendForwardedMessage
{
    HostAddress host;
    ForwardedMessage message;
};
struct SendForwardedReply
{
    HostAddress host;
    ForwardedReply reply;
};
struct SendConfigMessage
{
    HostAddress host;
    PeerConfigMessage message;
};

/** A message from another balancer about services and targets. */
struct FleetMessageReceived
{
    HostAddress from;
    ZoneId zone; ///< of the sender
    FleetMessage message;
};

/** The platform's list of hosts. */
struct PlatformHosts
{
    std::vector<HostAddress> live;
    std::vector<HostAddress> leaving;
};

/** Leave gracefully: other balancers are to stop sending new work here. */
struct BeginLeave
{
};

/** Messages to the task that owns the sockets to other balancers and the membership. */
using PeerTaskMessage =
    std::variant<ConfigurationChanged, SendForwardedMessage, SendForwardedReply, SendConfigMessage, SendFleetMessage,
                 PlatformHosts, ProcessPaused, BeginLeave, MembershipStatusQuery, StopTask>;

/** A configuration message from another balancer. */
struct PeerConfigReceived
{
    HostAddress peer;
    PeerConfigMessage message;
};

/** Messages to the task that owns the configuration and the connection to the platform. */
using ConfigTaskMessage =
    std::variant<FleetViewChanged, PeerConfigReceived, NewerRevisionSeen, OperatorChange, ConfigStatusQuery, StopTask>;

/** Functions that post to the other tasks of the process; set once before the tasks start. */
struct TaskSenders
{
    std::function<void(CallerTaskMessage)> toCallers;
    std::function<void(DispatchTaskMessage)> toDispatch;
    std::function<void(PeerTaskMessage)> toPeers;
    std::function<void(ConfigTaskMessage)> toConfig;
    std::function<void(FleetMessageReceived)> toFleet; ///< to the packet front end; empty when there is none
};

} // namespace poplarroad

#endif
