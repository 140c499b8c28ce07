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

/** A new configuration is in force. */
struct ConfigurationInForce
{
    ConfigurationPtr configuration;
};

/** The membership has a new view. */
struct FleetViewChanged
{
    std::shared_ptr<const FleetView> view;
};

/** Close sockets, finish and leave the loop. */
struct StopTask
{
};

/** No connection to a balancer. */
struct PeerLinkLost
{
    HostAddress host;
};

/** The event loop stood still for longer than the suspicion timeout. */
struct ProcessPaused
{
    Incarnation incarnation; ///< the new one
};

/** What the dispatchers of this process are doing. */
struct DispatchStatus
{
    std::vector<PoolStatus> pools;
    bool idle = true;
};

/** What a balancer tells of itself, for the operator. */
struct HostStatus
{
    std::shared_ptr<const FleetView> view;
    ConfigurationPtr configuration;
    bool platformReachable = false;
    DispatchStatus dispatch;
    RouterStatus router;
    MembershipStatus membership;
};

/** Ask a task for a part of the status; the callback is called in the task's thread and only posts. */
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

/** Ask why a flow, a target or a service's new flows are where they are. */
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

/** A change asked for by an operator; the callback is called in the configuration task's thread and only posts. */
struct OperatorChange
{
    ChangeRequest request;
    std::function<void(ChangeOutcome)> reply;
};

/** A target was removed from the configuration before a request could be sent to it. */
struct TargetGone
{
    PoolId pool;
    TargetLost lost;
};

/** Call back once when the task has nothing in progress; the callback is called in the task's thread and only posts. */
struct NotifyWhenIdle
{
    std::function<void()> reply;
};

/** Read nothing more from callers; replies still go out. */
struct StopReading
{
};

/** Messages to the task that owns the callers' sockets and the routing. */
using CallerTaskMessage =
    std::variant<ConfigurationInForce, FleetViewChanged, ForwardedReply, ForwardedMessage, PeerLinkLost,
                 RouterStatusQuery, ExplainServiceQuery, NotifyWhenIdle, StopReading, StopTask>;

/** Messages to the task that owns the pools and the connections to targets. */
using DispatchTaskMessage =
    std::variant<ConfigurationInForce, FleetViewChanged, DispatchHere, TargetGone, DispatchStatusQuery,
                 ExplainFlowQuery, ExplainTargetQuery, NotifyWhenIdle, StopTask>;

/** Send to another balancer over its link. */
struct SendForward
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

/** Send to other balancers, as a datagram where it fits and otherwise over their links. */
struct SendFleetMessage
{
    std::vector<HostAddress> hosts;
    FleetMessage message;
};

/** A message of another balancer on services and targets. */
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

/** Start a graceful leave. */
struct BeginLeave
{
};

/** Messages to the task that owns the sockets to other balancers and the membership. */
using PeerTaskMessage =
    std::variant<ConfigurationInForce, SendForward, SendForwardedReply, SendConfigMessage, SendFleetMessage,
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

/** Posts to the other tasks of the process; set up once before the tasks start. */
struct TaskLinks
{
    std::function<void(CallerTaskMessage)> toCallers;
    std::function<void(DispatchTaskMessage)> toDispatch;
    std::function<void(PeerTaskMessage)> toPeers;
    std::function<void(ConfigTaskMessage)> toConfig;
    std::function<void(FleetMessageReceived)> toFleet; ///< of the frontend for packets; may be empty
};

} // namespace poplarroad

#endif
