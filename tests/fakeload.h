#ifndef POPLARROAD_TESTS_FAKELOAD_H
#define POPLARROAD_TESTS_FAKELOAD_H

#include "fakefleet.h"

#include <absl/container/flat_hash_set.h>

namespace poplarroad::test
{

/** Which of the example deployments a run simulates. */
enum class Deployment : std::uint8_t {
    Bogota,
    Bajio,
};

/** Load of one kind of request; 1 is the capacity of the targets of its service. */
struct Demand
{
    std::string kind;
    double load = 0.0;
    double floodLoad = 0.0; ///< replaces `load` from FloodStart on; 0 means no flood
    double heavyCallerFraction = 0.0; ///< fraction of the requests that come from one heavy caller
};

struct LoadOptions
{
    std::uint64_t seed = 1;
    Deployment deployment = Deployment::Bogota;
    std::vector<Demand> demands;
    Microseconds duration{ std::chrono::seconds(8) };
    Microseconds measureFrom{ std::chrono::seconds(3) }; ///< earlier arrivals and completions are not counted
    std::string changedTarget; ///< name of the target that joins or leaves at ChangeAt; empty for none
    bool joins = false; ///< `changedTarget` joins if true and leaves if false
};

/** Outcomes of the requests of one kind that arrived during the measurement. */
struct KindReport
{
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t unanswered = 0; ///< without a reply at the end of the run
    std::uint64_t completed = 0; ///< answered during the measurement, also if they arrived before it
    std::uint64_t lateRefusals = 0; ///< refused later than 10 ms plus the network delay of one direction
    std::uint64_t offeredByHeavyCaller = 0; ///< those of `offered` that came from the heavy caller
    std::uint64_t answeredToHeavyCaller = 0;
    Microseconds longestRefusalDelay{ 0 };
    std::vector<Microseconds> latencies;
    std::map<std::string, std::uint64_t> refusals; ///< by reason

    double answeredShare() const
    {
        return offered == 0 ? 1.0 : static_cast<double>(answered) / static_cast<double>(offered);
    }
    /** @return the quantile of the latencies; `fraction` 0.99 returns the 99th percentile */
    Microseconds quantile(double fraction) const;
};

struct LoadReport
{
    std::map<std::string, KindReport> kinds;
    std::map<std::uint64_t, double> requestsPerSlot; ///< by target; requests started during the measurement
    std::map<std::string, std::uint64_t> offeredInZone; ///< by the zone of the ingress; slot requests only
    std::map<std::string, std::uint64_t> answeredInZone;
    std::map<std::string, std::uint64_t> answeredByPool; ///< by the zone of the target; slot requests only
    std::uint64_t runs = 0; ///< requests sent to targets, including retries
    std::uint64_t requestsRun = 0; ///< distinct requests among `runs`
    std::uint64_t refusedAfterRun = 0; ///< refused with "not run" although a target had started them
    double seconds = 0.0; ///< duration of the measurement
};

/** Mean service time of a request in a slot; the service times have a lognormal distribution. */
inline constexpr Microseconds MeanServiceTime{ 20'000 };
inline constexpr Microseconds FloodStart{ 2'000'000 };
inline constexpr Microseconds ChangeAt{ 3'000'000 };

/**
 * Simulates the routers and dispatchers of all balancers of one deployment under an open-loop load.
 *
 * The network loses no messages and all balancers have the same configuration and view. Arrivals are a Poisson process.
 * Callers follow the rules for tokens and retries, and a refused caller sends nothing until its retry delay has passed.
 */
class FakeLoad
{
public:
    explicit FakeLoad(LoadOptions options);
    ~FakeLoad();
    /** Runs the simulation to its end. */
    LoadReport run();
    /** @return requests per second that the slots (or connections) of the kind's service can complete */
    double capacityOf(const std::string &kind) const;
    const Contract &contractOf(const std::string &kind) const;
    /** @return number of slots in a zone's pool of the kind's service */
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
    void changeTarget();
    void runTimers(Balancer &balancer);
    void handle(Balancer &balancer, RouteActions actions);
    void handle(Balancer &balancer, PoolId pool, DispatchActions actions);
    void forward(Balancer &from, const HostAddress &to, const CallerMessage &message, const ReturnPath &path,
                 std::uint8_t hops);
    void reply(Balancer &from, const PoolReport &report, const ReturnPath &path, const CallerReply &reply);
    void runAtTarget(Balancer &balancer, PoolId pool, const RunAtTarget &run);
    void runFeedAtTarget(Balancer &balancer, PoolId pool, const RunAtTarget &run);
    void deliverTargetEvent(Balancer &balancer, PoolId pool, Microseconds delay, TargetEvent event);
    Balancer &balancerAt(const HostAddress &address);
    Dispatcher &dispatcher(Balancer &balancer, PoolId pool);

    void generateArrival(RequestSource &source);
    void startRequest(RequestSource &source, Caller &caller);
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
    absl::flat_hash_set<RequestId> attemptedRequests_; ///< sent to a target at least once
    absl::flat_hash_set<RequestId> startedRequests_; ///< started by a target
    LoadReport report_;
};

} // namespace poplarroad::test

#endif
