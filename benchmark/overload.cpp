// Compares the admission and the choice of targets with simpler policies, in virtual time and with the same seeds.
// Prints a JSON object per run, then a table of the means.
#include "overloadpolicies.h"

#include <array>
#include <cstdio>
#include <string>

using namespace poplarroad;
using namespace poplarroad::overload;
using namespace std::chrono_literals;

namespace
{

struct AdmissionResult
{
    double reservationsAnswered = 0.0; ///< fraction of the offered reservations answered within the deadline
    double reservationP99Ms = 0.0; ///< latency of those; 0 if there are none
    double pickupOfCapacity = 0.0; ///< pickups answered within the deadline, as a fraction of the capacity
    double weighted = 0.0; ///< weighted work, relative to the best possible with the minimum share of pickup
};

/** Simulates one admission policy; the offered loads are multiples of the capacity. */
class AdmissionRun
{
public:
    AdmissionResult run(Admission &admission, double reservationLoad, double pickupLoad, std::uint64_t seed)
    {
        RandomLoad random(seed);
        for (TimePoint now = Start; now < MeasureTo;
             now += random.interArrivalTime((reservationLoad + pickupLoad) * CapacityPerSecond)) {
            finishUntil(admission, now, random);
            const KindId kind =
                random.uniform() * (reservationLoad + pickupLoad) < reservationLoad ? Reservation : Pickup;
            const Job job{ { FlowId{ ++count_ }, 1 }, kind, now, now + 2s, {} };
            offered_[kind] += now >= MeasureFrom ? 1 : 0;
            std::visit([&](auto &policy) { policy.admit(job, now); }, admission);
            startWork(admission, now, random);
        }
        finishUntil(admission, MeasureTo + 2s, random);
        const double seconds = std::chrono::duration<double>(MeasureTo - MeasureFrom).count();
        const double slots = seconds * CapacityPerSecond;
        // The best possible work with the weights 4 and 1 and the minimum share 0.1 of contracts().
        const double pickups = std::min(pickupLoad, std::max(0.1, 1.0 - reservationLoad));
        const double best = 4.0 * std::min(reservationLoad, 1.0 - pickups) + pickups;
        return { answered_[Reservation] / offered_[Reservation], quantileMs(reservationMs_, 0.99),
                 answered_[Pickup] / slots, (4.0 * answered_[Reservation] + answered_[Pickup]) / (best * slots) };
    }

private:
    void startWork(Admission &admission, TimePoint now, RandomLoad &random)
    {
        while (const auto job = std::visit([&](auto &policy) { return policy.next(now); }, admission)) {
            const Microseconds elapsed = random.serviceTime();
            running_.emplace(now + elapsed, std::pair(*job, elapsed));
        }
    }
    void finishUntil(Admission &admission, TimePoint until, RandomLoad &random)
    {
        while (!running_.empty() && running_.begin()->first <= until) {
            const TimePoint now = running_.begin()->first;
            const auto [job, elapsed] = running_.begin()->second;
            running_.erase(running_.begin());
            std::visit([&, &done = job, &time = elapsed](auto &policy) { policy.done(done, time, now); }, admission);
            const bool inTime = now <= job.deadline;
            completed_[job.kind] += inTime && now >= MeasureFrom && now < MeasureTo ? 1 : 0;
            if (inTime && job.arrived >= MeasureFrom) {
                answered_[job.kind] += 1;
                if (job.kind == Reservation) {
                    reservationMs_.push_back(std::chrono::duration<double, std::milli>(now - job.arrived).count());
                }
            }
            startWork(admission, now, random);
        }
    }

    std::uint64_t count_ = 0;
    std::multimap<TimePoint, std::pair<Job, Microseconds>> running_;
    std::map<KindId, double> offered_;
    std::map<KindId, double> answered_; ///< by kind, of requests that arrived in the measured interval
    std::map<KindId, double> completed_; ///< by kind, of requests that ended in the measured interval
    std::vector<double> reservationMs_;
};

struct BalanceResult
{
    double imbalance = 0.0; ///< largest to mean number of requests per target over 10 s
    double p99Ms = 0.0;
    double moved = 0.0; ///< fraction of the flows at the remaining targets that moved when one target was removed
};

/** Flows have four requests on average and stay at their target, except with HashModulo, which keeps no state. */
class BalanceRun
{
public:
    BalanceResult run(Choice choice, std::uint64_t seed)
    {
        RandomLoad random(seed);
        for (const Target &target : targets()) {
            state_.ready.push_back(target.id);
        }
        state_.pool.setTargets(targets(), Start);
        std::vector<FlowId> flows(1000);
        std::generate(flows.begin(), flows.end(), [&] { return FlowId{ random.number() }; });
        for (TimePoint now = Start; now < MeasureTo; now += random.interArrivalTime(0.7 * CapacityPerSecond)) {
            finishUntil(now, random);
            FlowId &flow = flows[random.number() % flows.size()];
            flow = random.uniform() < 0.25 ? FlowId{ random.number() } : flow;
            arrive(flow, choice, random, now);
        }
        double largest = 0.0;
        double sum = 0.0;
        for (const auto &[target, work] : work_) {
            largest = std::max(largest, work);
            sum += work;
        }
        return { largest / (sum / TargetCount), quantileMs(latencyMs_, 0.99), movedFraction(flows, choice, random) };
    }

private:
    void arrive(FlowId flow, Choice &choice, RandomLoad &random, TimePoint now)
    {
        const TargetId target = targetOf(flow, choice, random, now);
        work_[target] += now >= MeasureFrom ? 1.0 : 0.0;
        ++state_.load[target];
        waiting_[target].push_back(now);
        state_.pool.addQueued(target, 1);
        startWork(target, now, random);
    }
    TargetId targetOf(FlowId flow, Choice &choice, RandomLoad &random, TimePoint now)
    {
        const auto chosen = [&] {
            return std::visit([&](auto &policy) { return policy.choose(flow, state_, random, now); }, choice);
        };
        if (std::holds_alternative<HashModulo>(choice)) {
            return assigned_[flow] = chosen();
        }
        const auto found = assigned_.find(flow);
        return found != assigned_.end() ? found->second : assigned_[flow] = chosen();
    }
    void startWork(TargetId target, TimePoint now, RandomLoad &random)
    {
        while (!waiting_[target].empty() && running_[target] < SlotsPerTarget) {
            const Microseconds elapsed = random.serviceTime();
            ends_.emplace(now + elapsed, End{ target, waiting_[target].front(), elapsed });
            waiting_[target].pop_front();
            ++running_[target];
            state_.pool.addQueued(target, -1);
            state_.pool.begin(target, Occupancy::Slot, now);
        }
    }
    void finishUntil(TimePoint until, RandomLoad &random)
    {
        while (!ends_.empty() && ends_.begin()->first <= until) {
            const auto [now, end] = *ends_.begin();
            ends_.erase(ends_.begin());
            --running_[end.target];
            --state_.load[end.target];
            state_.pool.end(end.target, Occupancy::Slot, TargetOutcome::Answered, end.elapsed, now);
            if (end.arrived >= MeasureFrom) {
                latencyMs_.push_back(std::chrono::duration<double, std::milli>(now - end.arrived).count());
            }
            startWork(end.target, now, random);
        }
    }
    double movedFraction(const std::vector<FlowId> &flows, Choice &choice, RandomLoad &random)
    {
        const TargetId removed = state_.ready[4];
        state_.ready.erase(state_.ready.begin() + 4);
        double moved = 0.0;
        double stayed = 0.0;
        for (const FlowId flow : flows) {
            const auto found = assigned_.find(flow);
            if (found != assigned_.end() && found->second != removed) {
                const TargetId before = found->second;
                (targetOf(flow, choice, random, MeasureTo) == before ? stayed : moved) += 1.0;
            }
        }
        return moved / (moved + stayed);
    }

    struct End
    {
        TargetId target;
        TimePoint arrived;
        Microseconds elapsed;
    };
    BalancerState state_;
    absl::flat_hash_map<FlowId, TargetId> assigned_;
    std::map<TargetId, std::deque<TimePoint>> waiting_;
    std::map<TargetId, std::size_t> running_;
    std::map<TargetId, double> work_;
    std::multimap<TimePoint, End> ends_;
    std::vector<double> latencyMs_;
};

template<typename Policy>
void compareAdmission(const char *scenario, double reservationLoad, double pickupLoad, std::string &table)
{
    AdmissionResult mean;
    for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
        Admission admission(std::in_place_type<Policy>);
        const AdmissionResult result = AdmissionRun().run(admission, reservationLoad, pickupLoad, seed);
        std::printf("{\"scenario\":\"%s\",\"policy\":\"%s\",\"seed\":%lu,\"reservationsAnswered\":%.4f,"
                    "\"reservationP99Ms\":%.1f,\"pickupOfCapacity\":%.4f,\"weightedOfBest\":%.4f}\n",
                    scenario, Policy::Name, static_cast<unsigned long>(seed), result.reservationsAnswered,
                    result.reservationP99Ms, result.pickupOfCapacity, result.weighted);
        mean.reservationsAnswered += result.reservationsAnswered / SeedCount;
        mean.reservationP99Ms += result.reservationP99Ms / SeedCount;
        mean.pickupOfCapacity += result.pickupOfCapacity / SeedCount;
        mean.weighted += result.weighted / SeedCount;
    }
    std::array<char, 200> line{};
    std::snprintf(line.data(), line.size(), "| %s | %s | %.1f%% | %.0f | %.1f%% | %.1f%% |\n", scenario, Policy::Name,
                  100 * mean.reservationsAnswered, mean.reservationP99Ms, 100 * mean.pickupOfCapacity,
                  100 * mean.weighted);
    table += line.data();
}

void compareAdmissions(const char *scenario, double reservationLoad, double pickupLoad, std::string &table)
{
    compareAdmission<PoplarroadAdmission>(scenario, reservationLoad, pickupLoad, table);
    compareAdmission<NoAdmission>(scenario, reservationLoad, pickupLoad, table);
    compareAdmission<FirstComeFirstServed>(scenario, reservationLoad, pickupLoad, table);
    compareAdmission<FixedLimits>(scenario, reservationLoad, pickupLoad, table);
}

template<typename Policy>
void compareChoice(std::string &table)
{
    BalanceResult mean;
    for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
        const BalanceResult result = BalanceRun().run(Policy{}, seed);
        std::printf("{\"scenario\":\"70%% load\",\"choice\":\"%s\",\"seed\":%lu,\"imbalance\":%.4f,\"p99Ms\":%.1f,"
                    "\"flowsMoved\":%.4f}\n",
                    Policy::Name, static_cast<unsigned long>(seed), result.imbalance, result.p99Ms, result.moved);
        mean.imbalance += result.imbalance / SeedCount;
        mean.p99Ms += result.p99Ms / SeedCount;
        mean.moved += result.moved / SeedCount;
    }
    std::array<char, 200> line{};
    std::snprintf(line.data(), line.size(), "| %s | %.3f | %.0f | %.1f%% |\n", Policy::Name, mean.imbalance, mean.p99Ms,
                  100 * mean.moved);
    table += line.data();
}

} // namespace

int main()
{
    std::string admissions =
        "| load | admission | reservations answered | p99 (ms) | pickup, of capacity | weighted work, "
        "of the best |\n|---|---|---|---|---|---|\n";
    compareAdmissions("reservation 0.3, pickup 0.15", 0.3, 0.15, admissions);
    compareAdmissions("reservation 0.3, pickup 10", 0.3, 10.0, admissions);
    compareAdmissions("reservation 10, pickup 0.15", 10.0, 0.15, admissions);
    std::string choices = "| choice of target | largest to mean work | p99 (ms) | flows moved |\n|---|---|---|---|\n";
    compareChoice<LeastWork>(choices);
    compareChoice<RandomTarget>(choices);
    compareChoice<RoundRobin>(choices);
    compareChoice<TwoChoices>(choices);
    compareChoice<HashModulo>(choices);
    std::printf("\n%s\n%s", admissions.c_str(), choices.c_str());
    return 0;
}
