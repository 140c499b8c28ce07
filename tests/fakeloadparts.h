#ifndef POPLARROAD_TESTS_FAKELOADPARTS_H
#define POPLARROAD_TESTS_FAKELOADPARTS_H

#include "fakeload.h"

namespace poplarroad::test
{

using namespace std::chrono_literals;

struct FakeLoad::Balancer
{
    HostAddress address;
    std::string zone;
    std::shared_ptr<FleetView> view;
    std::unique_ptr<Router> router;
    std::map<PoolId, Dispatcher> dispatchers;
};

struct FakeLoad::FakeTarget
{
    Target declared;
    std::string zone;
    std::map<RequestId, std::uint64_t> active; ///< the number of the run, so that a cancelled one doesn't end
    std::uint64_t runs = 0;
};

struct FakeLoad::PendingRequest
{
    RequestSource *source = nullptr;
    TimePoint arrivedAt;
    TimePoint sentAt;
    std::uint32_t sends = 0;
    std::size_t ingress = 0; ///< of the latest attempt
    bool fromHeavyCaller = false;
};

struct FakeLoad::Caller
{
    std::uint64_t endpoint = 0;
    CallerId id;
    FlowId flow;
    std::uint64_t sequence = 0;
    std::optional<FlowToken> token;
    TimePoint tokenAt;
    TimePoint retryNotBefore; ///< told so with a refusal
    std::vector<PendingRequest> waitingForToken; ///< for a token
};

struct FakeLoad::RequestSource
{
    Demand demand;
    Contract contract;
    std::string service;
    double capacity = 0.0;
    std::vector<Caller *> callers;
    std::vector<Caller *> heavyCallerFlows; ///< flows of the caller with Demand::heavyCallerFraction
    std::mt19937_64 random; ///< its own, so that a flood of another kind leaves the arrivals of this kind unchanged
};

inline constexpr Microseconds CallerDelay = 1ms;
inline constexpr Microseconds InZoneDelay = 100us; ///< between balancers or to a target
inline constexpr Microseconds FeedLifetime = 2s;
/** Few, so that a flood fills them within a run. */
inline constexpr std::uint32_t ConnectionsOfTarget = 200;

} // namespace poplarroad::test

#endif
