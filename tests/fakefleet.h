#ifndef POPLARROAD_TESTS_FAKEFLEET_H
#define POPLARROAD_TESTS_FAKEFLEET_H

#include "poplarroad/dispatcher.h"
#include "poplarroad/router.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplarroad::test
{

/** Clock and event queue of a simulation; events run in the order of their time, so that a run can be repeated. */
class VirtualTime
{
public:
    TimePoint now() const
    {
        return now_;
    }
    void after(Microseconds delay, std::function<void()> action);
    /** Runs the next event. @return false when there is none before the end */
    bool step(TimePoint end);

private:
    struct Event
    {
        TimePoint due;
        std::uint64_t number;
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return std::pair(due, number) > std::pair(other.due, other.number);
        }
    };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    TimePoint now_{ std::chrono::hours(1) };
    std::uint64_t numbers_ = 0;
};

/** Size of the fleet, and the faults and changes that are injected. */
struct FleetOptions
{
    std::uint64_t seed = 1;
    int hosts = 8;
    int zones = 3;
    int targets = 14;
    std::uint16_t slots = 3;
    int callers = 30;
    double loss = 0.02; ///< probability for a packet between caller and balancer, in each direction
    double duplication = 0.05; ///< probability for a packet between caller and balancer, in each direction
    bool plannedChanges = true; ///< graceful leaves and joins, drains
    bool faults = true; ///< kills, pauses, broken targets, network partitions between zones
    Microseconds disturbanceInterval{ std::chrono::milliseconds(700) };
};

/** Counts and violations of a run. */
struct FleetReport
{
    std::uint64_t steps = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::map<std::string, std::uint64_t> unknownReasons;
    /** Requests that a running balancer got but did not reply to by the deadline and ReplyMargin. */
    std::uint64_t silent = 0;
    /** Requests of which no balancer that kept running got a packet, or whose last reply was lost in the network. */
    std::uint64_t lostInNetwork = 0;
    std::uint64_t executed = 0;
    std::uint64_t disturbances = 0;
    std::uint64_t movedFlows = 0; ///< flows that changed their target although the earlier one could still answer
    /** Requests of new flows at a target that has been draining for longer than DrainLimit. */
    std::uint64_t newFlowsAtDraining = 0;
    std::vector<std::string> violations; ///< violated invariants; empty in a correct run
};

/**
 * Simulation of several balancers: real routers and dispatchers with fakes of the network, the membership, the store,
 * the targets and the callers.
 *
 * Views and configurations reach each balancer at a different time. Packets of callers may reach any balancer, and may
 * be lost or duplicated. What the targets executed is compared with the replies that the callers got.
 */
class FakeFleet
{
public:
    explicit FakeFleet(FleetOptions options);
    ~FakeFleet();
    /** Runs for a span of virtual time, or for a number of events if that is reached first. */
    void run(Microseconds span, std::uint64_t steps = UINT64_MAX);
    /** Ends the disturbances, repairs all faults and runs until the requests in progress have ended. */
    void recover();
    const FleetReport &report() const
    {
        return report_;
    }

private:
    struct Balancer;
    struct FakeTarget;
    struct Caller;
    struct Arrival;
    struct ExecutionLog;

    void buildConfiguration();
    void startBalancer(int index);
    std::shared_ptr<const FleetView> makeView(const Balancer &balancer) const;
    void updateView(Balancer &balancer);
    void propagateViews();
    void propagateConfiguration(const ConfigEdit &edit);
    void injectDisturbance();
    void injectPlannedChange(std::uint64_t choice);
    void injectFault(std::uint64_t choice);
    void leave(Balancer &balancer);
    void finishLeaving(Balancer &balancer);
    void stop(Balancer &balancer);
    void pause(Balancer &balancer);
    /** @return the balancer that the next packet of a caller reaches, which may have stopped shortly before */
    int pickIngress();
    bool zonesConnected(ZoneId a, ZoneId b) const;

    void deliverToBalancer(int index, std::uint64_t endpoint, const CallerMessage &message);
    void sendReplyToCaller(std::uint64_t endpoint, const CallerReply &reply);
    void handle(Balancer &balancer, RouteActions actions);
    void handle(Balancer &balancer, PoolId pool, DispatchActions actions);
    void dispatch(Balancer &balancer, const DispatchLocally &action);
    void forward(Balancer &from, const HostAddress &to, const CallerMessage &message, const ReturnPath &path,
                 std::uint8_t hops);
    void reply(Balancer &from, const ReturnPath &path, const CallerReply &reply);
    void runAtTarget(Balancer &balancer, PoolId pool, const RunAtTarget &run);
    void deliverTargetEvent(int balancer, std::uint64_t generation, PoolId pool, const TargetEvent &event);
    /** Runs the action once the balancer is not paused; drops it if the balancer has stopped or restarted. */
    void runWhenActive(int index, std::uint64_t generation, std::function<void(Balancer &)> action);
    void timer(int index, std::uint64_t generation);
    Balancer *find(const HostAddress &address);
    Dispatcher &dispatcher(Balancer &balancer, PoolId pool);

    void sendNextRequest(Caller &caller);
    void send(Caller &caller, const CallerMessage &message);
    void onReply(Caller &caller, const CallerReply &reply);
    /** @param at when the packet reached the host, which may be before the end of a pause of the process */
    void recordArrival(std::uint64_t endpoint, const Balancer &balancer, TimePoint at);
    /** Counts a request that got no reply, by whether the network explains it. */
    void countMissingReply(const Caller &caller);
    /** Records which target answered a request, and counts a flow that has moved without need. */
    void recordTarget(const RequestId &id, std::uint64_t target);
    void reportViolation(const std::string &text);

    std::uint64_t randomBelow(std::uint64_t bound);
    bool chance(double probability);

    FleetOptions options_;
    std::mt19937_64 random_;
    VirtualTime time_;
    Configuration configuration_;
    std::vector<std::unique_ptr<Balancer>> balancers_;
    std::map<std::uint64_t, std::unique_ptr<FakeTarget>> targets_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::unique_ptr<ExecutionLog> executionLog_;
    std::set<std::pair<std::uint32_t, std::uint32_t>> partitions_; ///< pairs of zones that cannot reach each other
    std::uint64_t lastIncarnation_ = 100;
    bool injecting_ = true;
    FleetReport report_;
};

} // namespace poplarroad::test

#endif
