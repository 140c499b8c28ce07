#ifndef POPLARROAD_TESTS_FAKELOAD_H
#define POPLARROAD_TESTS_FAKELOAD_H

#include "fakefleet.h"

#include <absl/container/flat_hash_set.h>

namespace poplarroad::test
{

/** Which of the sample declarations a run uses. */
enum class Deployment : std::uint8_t {
    Bogota,
    Bajio,
};

/** Demand for one kind of work, as a part of the capacity of its service's targets. */
struct Demand
{
    std::string kind;
    double share = 0.0;
    double floodShare = 0.0; ///< from FloodStart on, instead of `share`; 0 leaves it unchanged
    double heavyCallerFraction = 0.0; ///< part of the requests that come from one caller
};

struct LoadOptions
{
    std::uint64_t seed = 1;
    Deployment deployment = Deployment::Bogota;
    std::vector<Demand> demands;
    Microseconds duration{ std::chrono::seconds(8) };
    Microseconds measureFrom{ std::chrono::seconds(3) }; ///< arrivals and completions before are not counted
    std::string changedTarget; ///< joins or leaves at ChangeAt
    bool joins = false;
};

/** What happened to the requests of one kind that arrived while measuring. */
struct KindReport
{
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t completed = 0; ///< answered while measuring, whenever they arrived
    std::uint64_t lateRefusals = 0; ///< later than 10 ms and the way of one direction
    std::uint64_t offeredByHeavyCaller = 0; ///< of them by the caller with `heavyCallerFraction`
    std::uint64_t answeredToHeavyCaller = 0;
    Microseconds longestRefusalDelay{ 0 };
    std::vector<Microseconds> latencies;
    std::map<std::string, std::uint64_t> refusals; ///< by reason

    double answeredShare() const
    {
        return offered == 0 ? 1.0 : static_cast<double>(answered) / static_cast<double>(offered);
    }
    /** @return the latency below which a part of the answers stayed */
    Microseconds quantile(double fraction) const;
};

struct LoadReport
{
    std::map<std::string, KindReport> kinds;
    std::map<std::uint64_t, double> requestsPerSlot; ///< requests begun while measuring, per declared slot
    std::map<std::string, std::uint64_t> offeredInZone; ///< by the zone of the ingress, slots only
    std::map<std::string, std::uint64_t> answeredInZone;
    std::map<std::string, std::uint64_t> answeredByPool; ///< by the zone of the target, slots only
    std::uint64_t runs = 0; ///< attempts at targets
    std::uint64_t requestsRun = 0; ///< distinct requests among them
    std::uint64_t refusedAfterRun = 0; ///< told "not run" although a target began them
    double seconds = 0.0; ///< measured
};

/** Mean time of a request in a slot; the times are lognormal. */
inline constexpr Microseconds MeanServiceTime{ 20'000 };
inline constexpr Microseconds FloodStart{ 2'000'000 };
inline constexpr Microseconds ChangeAt{ 3'000'000 };

/**
 * Routers and dispatchers of all balancers of one deployment under an open load.
 *
 * The network loses nothing and all balancers know the same; arrivals are Poisson, each caller follows the token and retry
 * rules, and a caller that was told when to come again sends nothing before.
 */
class FakeLoad
{
public:
    explicit FakeLoad(LoadOptions options);
    ~FakeLoad();
    /** Runs the whole span. */
    LoadReport run();
    /** @return requests a second that the slots, or the connections, of the kind's service can complete */
    double capacityOf(const std::string &kind) const;
    const Contract &contractOf(const std::string &kind) const;
    /** @return the slots of a zone's pool of the kind's service */
    std::uint32_t slotsIn(const std::string &kind, const std::string &zone) const;

private:
    struct Balancer;
    struct FakeTarget;
    struct Caller;
    struct PendingRequest;
    struct RequestSource;

    void buildConfiguration();
    void addTargets(const std::string &service, int count, std::uint16_t slots);
    void createBalancers();
    void change();
    void runTimers(Balancer &balancer);
    void handle(Balancer &balancer, RouteActions actions);
    void handle(Balancer &balancer, PoolId pool, DispatchActions actions);
    void forward(Balancer &from, const HostAddress &to, const CallerMessage &message, const ReturnPath &path,
                 std::uint8_t hops);
    void reply(Balancer &from, const PoolReport &report, const ReturnPath &path, const CallerReply &reply);
    void runAtTarget(Balancer &balancer, PoolId pool, const RunAtTarget &run);
    void runFeedAtTarget(Balancer &balancer, PoolId pool, const RunAtTarget &run);
    void deliverTargetEvent(Balancer &balancer, PoolId pool, Microseconds delay, TargetEvent event);
    Balancer &at(const HostAddress &address);
    Dispatcher &dispatcher(Balancer &balancer, PoolId pool);

    void generateArrival(RequestSource &source);
    void start(RequestSource &source, Caller &caller);
    void submit(Caller &caller, PendingRequest pending);
    std::size_t send(std::uint64_t endpoint, const CallerMessage &message);
    void onReply(Caller &caller, const CallerReply &reply);
    void onNotRun(Caller &caller, const NotRunMessage &notRun);
    void recordOutcome(const PendingRequest &pending, std::uint64_t KindReport::*outcome);
    void storeToken(Caller &caller, const std::optional<FlowToken> &token);
    bool measuring(TimePoint at) const;
    double randomUnit();

    LoadOptions options_;
    std::mt19937_64 random_;
    std::lognormal_distribution<double> serviceUs_;
    VirtualTime time_;
    TimePoint start_;
    std::vector<std::string> zones_;
    Microseconds zoneDelay_{ 0 };
    ConfigurationPtr configuration_;
    std::map<std::string, std::pair<std::string, Contract>> contracts_; ///< service and contract, by kind
    std::vector<std::unique_ptr<Balancer>> balancers_;
    std::map<std::uint64_t, std::unique_ptr<FakeTarget>> targets_;
    std::vector<std::unique_ptr<RequestSource>> sources_;
    std::vector<std::unique_ptr<Caller>> callers_;
    absl::flat_hash_map<RequestId, PendingRequest> pendingRequests_;
    absl::flat_hash_set<RequestId> attemptedRequests_; ///< at a target
    absl::flat_hash_set<RequestId> startedRequests_; ///< by a target
    LoadReport report_;
};

} // namespace poplarroad::test

#endif
