#ifndef POPLARROAD_BENCHMARK_OVERLOADPOLICIES_H
#define POPLARROAD_BENCHMARK_OVERLOADPOLICIES_H

#include "contract/admissionqueue.h"
#include "poplarroad/targetpool.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

/** Policies that benchmark/overload.cpp compares, and the load that is offered to them. */
namespace poplarroad::overload
{

using namespace std::chrono_literals;

inline constexpr std::size_t TargetCount = 14;
inline constexpr std::uint16_t SlotsPerTarget = 2;
inline constexpr std::size_t SlotCount = TargetCount * SlotsPerTarget;
inline constexpr double MeanServiceUs = 20'000;
inline constexpr double ServiceTimeSigma = 0.5; ///< standard deviation of the logarithm of the service time
inline constexpr double CapacityPerSecond = SlotCount / (MeanServiceUs / 1e6);
inline constexpr std::size_t QueueLimit = 16 * SlotCount;
inline constexpr std::uint64_t SeedCount = 3;
inline const TimePoint Start = TimePoint{} + 1h;
inline const TimePoint MeasureFrom = Start + 2s;
inline const TimePoint MeasureTo = Start + 12s;

inline const KindId Reservation{ 1 };
inline const KindId Pickup{ 2 };

inline std::vector<Contract> contracts()
{
    std::vector<Contract> all(2);
    all[0] = { Reservation, "reservation", Urgency::Critical, 4, false, 2000ms, 0.5, 16, Occupancy::Slot };
    all[1] = { Pickup, "pickup", Urgency::Normal, 1, true, 2000ms, 0.1, 16, Occupancy::Slot };
    return all;
}

inline std::vector<Target> targets()
{
    std::vector<Target> all(TargetCount);
    for (std::size_t i = 0; i < all.size(); ++i) {
        all[i].id = { i + 1 };
        all[i].slots = SlotsPerTarget;
    }
    return all;
}

struct Job
{
    RequestId id;
    KindId kind;
    TimePoint arrived;
    TimePoint deadline;
    TargetId target; ///< target that runs it; only used by PoplarroadAdmission
};

/** Admission as implemented in poplarroad. */
class PoplarroadAdmission
{
public:
    static constexpr const char *Name = "poplarroad";

    PoplarroadAdmission()
    {
        queue_.setContracts(contracts());
        pool_.setTargets(targets(), Start);
    }
    bool admit(const Job &job, TimePoint now)
    {
        const PoolCapacity state{ pool_.limit(), 0, pool_.inProgress(), pool_.serviceTime() };
        if (queue_.admit({ job.id, job.kind, job.deadline, {}, {} }, state, now)) {
            return false;
        }
        waiting_[job.id] = job;
        return true;
    }
    std::optional<Job> next(TimePoint now)
    {
        for (const RequestId expired : queue_.expire(now)) {
            waiting_.erase(expired);
        }
        const auto placed = queue_.next([&](const QueuedRequest &) -> std::optional<TargetId> {
            // The simulated targets accept no more requests than they have slots.
            const auto target = pool_.chooseWithRoom(Occupancy::Slot, 0, now);
            return target && running_[*target] < SlotsPerTarget ? target : std::nullopt;
        });
        if (!placed) {
            return std::nullopt;
        }
        Job job = waiting_.at(placed->request.id);
        waiting_.erase(job.id);
        job.target = placed->target;
        ++running_[job.target];
        pool_.begin(job.target, Occupancy::Slot, now);
        return job;
    }
    void done(const Job &job, Microseconds elapsed, TimePoint now)
    {
        --running_[job.target];
        pool_.end(job.target, Occupancy::Slot, TargetOutcome::Answered, elapsed, now);
    }

private:
    AdmissionQueue queue_;
    TargetPool pool_{ 1 };
    absl::flat_hash_map<RequestId, Job> waiting_;
    absl::flat_hash_map<TargetId, std::uint32_t> running_;
};

/** One unbounded queue, like the accept queues of targets without a balancer. */
class NoAdmission
{
public:
    static constexpr const char *Name = "no admission";

    bool admit(const Job &job, TimePoint /*now*/)
    {
        waiting_.push_back(job);
        return true;
    }
    std::optional<Job> next(TimePoint /*now*/)
    {
        if (waiting_.empty() || running_ >= SlotCount) {
            return std::nullopt;
        }
        const Job job = waiting_.front();
        waiting_.pop_front();
        ++running_;
        return job;
    }
    void done(const Job & /*job*/, Microseconds /*elapsed*/, TimePoint /*now*/)
    {
        --running_;
    }
    std::size_t waiting() const
    {
        return waiting_.size();
    }

private:
    std::deque<Job> waiting_;
    std::size_t running_ = 0;
};

/** One bounded FIFO queue. */
class FirstComeFirstServed : public NoAdmission
{
public:
    static constexpr const char *Name = "first come, first served";

    bool admit(const Job &job, TimePoint now)
    {
        return waiting() < QueueLimit && NoAdmission::admit(job, now);
    }
};

/** Each kind has half of the slots and its own bounded queue. */
class FixedLimits
{
public:
    static constexpr const char *Name = "fixed limits";

    bool admit(const Job &job, TimePoint /*now*/)
    {
        Kind &kind = kinds_[job.kind];
        if (kind.waiting.size() >= QueueLimit / 2) {
            return false;
        }
        kind.waiting.push_back(job);
        return true;
    }
    std::optional<Job> next(TimePoint /*now*/)
    {
        for (auto &[id, kind] : kinds_) {
            if (!kind.waiting.empty() && kind.running < SlotCount / 2) {
                const Job job = kind.waiting.front();
                kind.waiting.pop_front();
                ++kind.running;
                return job;
            }
        }
        return std::nullopt;
    }
    void done(const Job &job, Microseconds /*elapsed*/, TimePoint /*now*/)
    {
        --kinds_[job.kind].running;
    }

private:
    struct Kind
    {
        std::deque<Job> waiting;
        std::size_t running = 0;
    };
    std::map<KindId, Kind> kinds_;
};

using Admission = std::variant<PoplarroadAdmission, NoAdmission, FirstComeFirstServed, FixedLimits>;

/** Random arrivals and service times, which are the same for every policy with the same seed. */
class RandomLoad
{
public:
    explicit RandomLoad(std::uint64_t seed)
        : arrivals_(seed)
        , services_(seed + 1000)
    {
    }
    double uniform()
    {
        return static_cast<double>(arrivals_() >> 11U) * 0x1p-53;
    }
    std::uint64_t number()
    {
        return arrivals_();
    }
    Microseconds interArrivalTime(double rate)
    {
        return Microseconds(std::max<std::int64_t>(1, std::llround(-std::log(1.0 - uniform()) * 1e6 / rate)));
    }
    Microseconds serviceTime()
    {
        return Microseconds(static_cast<std::int64_t>(serviceUs_(services_)));
    }

private:
    std::mt19937_64 arrivals_;
    std::mt19937_64 services_;
    std::lognormal_distribution<double> serviceUs_{ std::log(MeanServiceUs) - ServiceTimeSigma * ServiceTimeSigma / 2,
                                                    ServiceTimeSigma };
};

inline double quantileMs(std::vector<double> &values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0.0 : values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

/** What the policies know about the targets when they choose one. */
struct BalancerState
{
    std::vector<TargetId> ready;
    std::map<TargetId, std::size_t> load; ///< running and queued requests
    TargetPool pool{ 1 };
};

/** Choice for a new flow as implemented in poplarroad. */
struct LeastWork
{
    static constexpr const char *Name = "poplarroad";
    TargetId choose(FlowId, BalancerState &state, RandomLoad &, TimePoint now)
    {
        return *state.pool.choose(Occupancy::Slot, now);
    }
};
struct RandomTarget
{
    static constexpr const char *Name = "random";
    TargetId choose(FlowId, BalancerState &state, RandomLoad &random, TimePoint)
    {
        return state.ready[random.number() % state.ready.size()];
    }
};
struct RoundRobin
{
    static constexpr const char *Name = "round robin";
    TargetId choose(FlowId, BalancerState &state, RandomLoad &, TimePoint)
    {
        return state.ready[++next % state.ready.size()];
    }
    std::size_t next = 0;
};
/** The less loaded of two random targets. */
struct TwoChoices
{
    static constexpr const char *Name = "two random choices";
    TargetId choose(FlowId, BalancerState &state, RandomLoad &random, TimePoint)
    {
        const TargetId a = state.ready[random.number() % state.ready.size()];
        const TargetId b = state.ready[random.number() % state.ready.size()];
        return state.load[a] <= state.load[b] ? a : b;
    }
};
/** The flow id modulo the number of ready targets; keeps no state per flow. */
struct HashModulo
{
    static constexpr const char *Name = "hash modulo";
    TargetId choose(FlowId flow, BalancerState &state, RandomLoad &, TimePoint)
    {
        return state.ready[flow.value % state.ready.size()];
    }
};
using Choice = std::variant<LeastWork, RandomTarget, RoundRobin, TwoChoices, HashModulo>;

} // namespace poplarroad::overload

#endif
