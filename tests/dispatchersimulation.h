#ifndef POPLARROAD_TESTS_DISPATCHERSIMULATION_H
#define POPLARROAD_TESTS_DISPATCHERSIMULATION_H

#include "poplarroad/dispatcher.h"

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace poplarroad
{

inline const PoolId TestPool{ serviceIdOf("bids"), zoneIdOf("a") };
inline const KindId BidKind = kindIdOf("bid");
inline const KindId ListKind = kindIdOf("list");
inline const KindId FeedKind = kindIdOf("feed");

inline Contract makeContract(const std::string &name, bool idempotent, Urgency urgency, Occupancy occupancy)
{
    Contract contract;
    contract.kind = kindIdOf(name);
    contract.name = name;
    contract.idempotent = idempotent;
    contract.urgency = urgency;
    contract.occupancy = occupancy;
    return contract;
}

inline Configuration makeTestConfiguration(std::size_t targets)
{
    ConfigurationBuilder builder;
    builder.zone("a").service("bids",
                              { makeContract("bid", false, Urgency::Critical, Occupancy::Slot),
                                makeContract("list", true, Urgency::Low, Occupancy::Slot),
                                makeContract("feed", true, Urgency::Normal, Occupancy::Connection) });
    for (std::size_t i = 0; i < targets; ++i) {
        Target target;
        target.name = "t" + std::to_string(i);
        target.id = targetIdOf(target.name);
        target.service = TestPool.service;
        target.zone = TestPool.zone;
        target.slots = 2;
        target.address = { 0x7f000001, static_cast<std::uint16_t>(9000 + i) };
        builder.target(target);
    }
    return builder.build().value();
}

inline std::shared_ptr<FleetView> makeView(HostAddress self, std::uint64_t incarnation,
                                           const std::vector<HostAddress> &hosts)
{
    auto view = std::make_shared<FleetView>();
    view->self = self;
    view->incarnation = Incarnation{ incarnation };
    view->zone = TestPool.zone;
    view->joined = true;
    for (const HostAddress &host : hosts) {
        view->hosts.push_back({ host, Incarnation{}, HostState::Alive });
    }
    return view;
}

inline RequestMessage makeRequest(KindId kind, std::uint64_t flow, std::uint64_t sequence)
{
    RequestMessage request;
    request.id = { FlowId{ flow }, sequence };
    request.service = TestPool.service;
    request.kind = kind;
    request.caller = CallerId{ flow };
    return request;
}

/**
 * Randomized simulation of two dispatchers of one pool: their views may differ, hosts pause and restart, callers repeat
 * messages, and targets shed, drain, answer late or lose their connection.
 */
class DispatcherSimulation
{
public:
    explicit DispatcherSimulation(std::uint64_t seed);

    /** Simulates one random event. */
    void step();
    /** Lets all requests complete; records a violation if a dispatcher is not idle then. */
    void runUntilIdle();
    /** @return the first violation of a rule that dispatchers have to keep, or an empty text */
    const std::string &violation() const
    {
        return violation_;
    }
    std::uint64_t answered() const
    {
        return answered_;
    }

private:
    struct Host
    {
        HostAddress address;
        std::uint64_t incarnation = 0;
        std::unique_ptr<Dispatcher> dispatcher;
    };
    struct RunningRequest
    {
        std::size_t host = 0;
        RunAtTarget run;
        bool executed = false;
        std::uint64_t position = 0;
    };

    std::uint64_t randomBelow(std::uint64_t bound)
    {
        return random_() % bound;
    }
    void setRandomView(std::size_t host);
    void sendNewMessage();
    void repeatMessage();
    void deliver(std::size_t host, const CallerMessage &message);
    void sendTargetEvent();
    void endRun(std::size_t index, const TargetEvent &event);
    void pauseHost();
    void restartHost();
    void toggleDraining();
    void advanceTime();
    void applyActions(std::size_t host, const DispatchActions &actions);
    void onReply(std::size_t host, const ReplyToCaller &reply);
    void onAnswer(const AnswerMessage &answer);
    void onNotRun(std::size_t host, const NotRunMessage &refusal);
    void execute(RunningRequest &running);
    void fail(const std::string &what, const RequestId &id);

    std::mt19937_64 random_;
    TimePoint now_ = TimePoint{} + std::chrono::seconds(1000);
    Configuration configuration_ = makeTestConfiguration(4);
    std::array<Host, 2> hosts_;
    std::uint64_t nextIncarnation_ = 1;
    std::vector<CallerMessage> sent_;
    std::map<FlowId, FlowToken> tokens_;
    std::map<FlowId, std::uint64_t> sequences_;
    std::map<RequestId, KindId> kinds_;
    std::vector<RunningRequest> running_;
    std::map<RequestId, int> runs_;
    std::map<std::pair<std::size_t, RequestId>, TimePoint> lastRunByHost_;
    std::set<RequestId> bidsNotRun_;
    std::string violation_;
    std::uint64_t answered_ = 0;
};

} // namespace poplarroad

#endif
