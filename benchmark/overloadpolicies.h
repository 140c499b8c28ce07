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

/** The policies that benchmark/overload.cpp compares, and the load that they get. */
namespace poplarroad::overload
{

using namespace std::chrono_literals;

inline constexpr std::size_t targetCount = 14;
inline constexpr std::uint16_t slotsOfTarget = 2;
inline constexpr std::size_t slotCount = targetCount * slotsOfTarget;
inline constexpr double meanServiceUs = 20'000;
inline constexpr double sigma = 0.5;
inline constexpr double capacity = slotCount / (meanServiceUs / 1e6); ///< requests a second
inline constexpr std::size_t queueBound = 16 * slotCount;
inline constexpr std::uint64_t seeds = 3;
inline const TimePoint start = TimePoint{} + 1h;
inline const TimePoint measureFrom = start + 2s;
inline const TimePoint measureTo = start + 12s;

inline const KindId reservation{ 1 };
inline const KindId pickup{ 2 };

inline std::vector<Contract> contracts()
{
    std::vector<Contract> all(2);
    all[0] = { reservation, "reservation", Urgency::Critical, 4, false, 2000ms, 0.5, 16, Occupancy::Slot };
    all[1] = { pickup, "pickup", Urgency::Normal, 1, true, 2000ms, 0.1, 16, Occupancy::Slot };
    return all;
}

inline std::vector<Target> targets()
{
    std::vector<Target> all(targetCount);
    for (std::size_t i = 0; i < all.size(); ++i) {
        all[i].id = { i + 1 };
        all[i].slots = slotsOfTarget;
    }
    return all;
}

struct Job
{
    RequestId id;
    KindId kind;
    TimePoint arrived;
    TimePoint deadline;
    TargetId target; ///< where it runs; the simpler admissions have no need of it
};

/** The admission of poplarroad. */
class PoplarroadAdmission
{
public:
    static constexpr const char *name = "poplarroad";

    PoplarroadAdmission()
    {
        queue_.setContracts(contracts());
        pool_.setTargets(targets(), start);
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
            // The targets of this run accept no more than their slots.
            const auto target = pool_.chooseWithRoom(Occupancy::Slot, 0, now);
            return target && running_[*target] < slotsOfTarget ? target : std::nullopt;
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
    void done(const Job &job, Microseconds took, TimePoint now)
    {
        --running_[job.target];
        pool_.end(job.target, Occupancy::Slot, TargetOutcome::Answered, took, now);
    }

private:
    AdmissionQueue queue_;
    TargetPool pool_{ 1 };
    absl::flat_hash_map<RequestId, Job> waiting_;
    absl::flat_hash_map<TargetId, std::uint32_t> running_;
};

/** Everything waits in one queue without bound, as in the targets' own queues. */
class NoAdmission
{
public:
    static constexpr const char *name = "no admission";

    bool admit(const Job &job, TimePoint /*now*/)
    {
        waiting_.push_back(job);
        return true;
    }
    std::optional<Job> next(TimePoint /*now*/)
    {
        if (waiting_.empty() || running_ >= slotCount) {
            return std::nullopt;
        }
        const Job job = waiting_.front();
        waiting_.pop_front();
        ++running_;
        return job;
    }
    void done(const Job & /*job*/, Microseconds /*took*/, TimePoint /*now*/)
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

/** One bounded queue in the order of arrival. */
class FirstComeFirstServed : public NoAdmission
{
public:
    static constexpr const char *name = "first come, first served";

    bool admit(const Job &job, TimePoint now)
    {
        return waiting() < queueBound && NoAdmission::admit(job, now);
    }
};

/** Each kind has half of the slots and a queue of its own. */
class FixedLimits
{
public:
    static constexpr const char *name = "fixed limits";

    bool admit(const Job &job, TimePoint /*now*/)
    {
        Kind &kind = kinds_[job.kind];
        if (kind.waiting.size() >= queueBound / 2) {
            return false;
        }
        kind.waiting.push_back(job);
        return true;
    }
    std::optional<Job> next(TimePoint /*now*/)
    {
        for (auto &[id, kind] : kinds_) {
            if (!kind.waiting.empty() && kind.running < slotCount / 2) {
                const Job job = kind.waiting.front();
                kind.waiting.pop_front();
                ++kind.running;
                return job;
            }
        }
        return std::nullopt;
    }
    void done(const Job &job, Microseconds /*took*/, TimePoint /*now*/)
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

/** Arrivals and service times; the same seed gives the same ones to every policy. */
class Randomness
{
public:
    explicit Randomness(std::uint64_t seed)
        : arrivals_(seed)
        , services_(seed + 1000)
    {
    }
    double unit()
    {
        return static_cast<double>(arrivals_() >> 11U) * 0x1p-53;
    }
    std::uint64_t number()
    {
        return arrivals_();
    }
    Microseconds gap(double rate)
    {
        return Microseconds(std::max<std::int64_t>(1, std::llround(-std::log(1.0 - unit()) * 1e6 / rate)));
    }
    Microseconds service()
    {
        return Microseconds(static_cast<std::int64_t>(serviceUs_(services_)));
    }

private:
    std::mt19937_64 arrivals_;
    std::mt19937_64 services_;
    std::lognormal_distribution<double> serviceUs_{ std::log(meanServiceUs) - sigma * sigma / 2, sigma };
};

inline double quantileMs(std::vector<double> &values, double part)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0.0 : values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

struct BalancerState
{
    std::vector<TargetId> ready;
    std::map<TargetId, std::size_t> load; ///< running and waiting
    TargetPool pool{ 1 };
};

/** The choice of poplarroad for a new flow. */
struct LeastWork
{
    static constexpr const char *name = "poplarroad";
    TargetId choose(FlowId, BalancerState &state, Randomness &, TimePoint now)
    {
        return *state.pool.choose(Occupancy::Slot, now);
    }
};
struct RandomTarget
{
    static constexpr const char *name = "random";
    TargetId choose(FlowId, BalancerState &state, Randomness &random, TimePoint)
    {
        return state.ready[random.number() % state.ready.size()];
    }
};
struct RoundRobin
{
    static constexpr const char *name = "round robin";
    TargetId choose(FlowId, BalancerState &state, Randomness &, TimePoint)
    {
        return state.ready[++next % state.ready.size()];
    }
    std::size_t next = 0;
};
struct TwoChoices
{
    static constexpr const char *name = "two random choices";
    TargetId choose(FlowId, BalancerState &state, Randomness &random, TimePoint)
    {
        const TargetId a = state.ready[random.number() % state.ready.size()];
        const TargetId b = state.ready[random.number() % state.ready.size()];
        return state.load[a] <= state.load[b] ? a : b;
    }
};
struct HashModulo
{
    static constexpr const char *name = "hash modulo";
    TargetId choose(FlowId flow, BalancerState &state, Randomness &, TimePoint)
    {
        return state.ready[flow.value % state.ready.size()];
    }
};
using Choice = std::variant<LeastWork, RandomTarget, RoundRobin, TwoChoices, HashModulo>;

} // namespace poplarroad::overload

#endif
