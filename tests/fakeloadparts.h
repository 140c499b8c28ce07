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
    std::map<RequestId, std::uint64_t> active; ///< run numbers; a cancelled run must not complete a later one
    std::uint64_t runs = 0;
};

struct FakeLoad::PendingRequest
{
    RequestSource *source = nullptr;
    TimePoint arrivedAt;
    TimePoint sentAt;
    std::uint32_t sends = 0;
    std::size_t ingress = 0; ///< index of the balancer that got the latest attempt
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
    TimePoint retryNotBefore; ///< from the retry delay of the latest refusal
    std::vector<PendingRequest> waitingForToken; ///< sent after the token is renewed
};

struct FakeLoad::RequestSource
{
    Demand demand;
    Contract contract;
    std::string service;
    double capacity = 0.0; ///< requests per second
    std::vector<Caller *> callers;
    std::vector<Caller *> heavyCallerFlows; ///< one entry per flow of the heavy caller
    std::mt19937_64 random; ///< separate, so that a flood of another kind does not change the arrivals of this kind
};

inline constexpr Microseconds CallerDelay = 1ms;
inline constexpr Microseconds InZoneDelay = 100us; ///< between balancers of one zone, and between balancer and target
inline constexpr Microseconds FeedLifetime = 2s;
/** Small enough that a flood occupies all of them during a run. */
inline constexpr std::uint32_t ConnectionsPerTarget = 200;

} // namespace poplarroad::test

#endif
