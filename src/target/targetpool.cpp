#include "poplarroad/targetpool.h"

#include "contract/invariant.h"
#include "poolentry.h"

#include <algorithm>
#include <map>
#include <random>

namespace poplarroad
{

namespace
{
/** Time without requests for a target that rejected one as draining. */
constexpr std::chrono::seconds DrainingRetryDelay{ 10 };
} // namespace

class TargetPool::Impl
{
public:
    explicit Impl(std::uint64_t seed)
        : random(seed)
    {
    }

    PoolEntry *find(TargetId id)
    {
        const auto found = entries.find(id);
        return found == entries.end() ? nullptr : found->second.get();
    }
    void addOrUpdate(const Target &target, TimePoint now);
    void eraseUnusedEntries();
    double meanRecentLoad(TimePoint now) const;
    template<typename Accept>
    std::optional<TargetId> leastLoaded(Occupancy occupancy, TimePoint now, Accept accept);
    void updateHealth(PoolEntry &entry, TargetOutcome outcome, TimePoint now);
    /** @return whether at most half of the targets are then ejected and another one accepts new flows */
    bool mayEject(const PoolEntry &candidate) const;
    void adaptLimit(PoolEntry &entry, TargetOutcome outcome, Microseconds took, TimePoint now);
    void readmitDueTargets(TimePoint now);

    std::mt19937_64 random;
    std::map<TargetId, std::unique_ptr<PoolEntry>> entries; ///< ordered, so that choices are reproducible from the seed
    double serviceTimeUs = 0.0;
    TimePoint lastNow; ///< time of the latest call, for the methods without a time parameter
};

void TargetPool::Impl::addOrUpdate(const Target &target, TimePoint now)
{
    PoolEntry *entry = find(target.id);
    if (entry == nullptr) {
        // Targets that are added before the pool has answered requests need no slow start: all are equally warm.
        const bool slowStart =
            std::any_of(entries.begin(), entries.end(), [](const auto &other) { return other.second->answered > 0; });
        const double mean = meanRecentLoad(now);
        entry = entries.emplace(target.id, std::make_unique<PoolEntry>(target, slowStart)).first->second.get();
        entry->recent.set(mean * target.slots, now);
        entry->addReason(slowStart ? "declared; slow start" : "declared");
    }
    if (entry->target.state != target.state) {
        entry->addReason("declared " + std::string(nameOf(target.state)));
    }
    entry->target = target;
    entry->limit.setSlots(target.slots);
    entry->declared = true;
}

void TargetPool::Impl::eraseUnusedEntries()
{
    for (auto it = entries.begin(); it != entries.end();) {
        const auto current = it++;
        const PoolEntry &entry = *current->second;
        if (!entry.declared && entry.inProgress == 0 && entry.connections == 0) {
            entries.erase(current);
        }
    }
}

double TargetPool::Impl::meanRecentLoad(TimePoint now) const
{
    double sum = 0.0;
    std::size_t count = 0;
    for (const auto &[id, entry] : entries) {
        if (entry->ready()) {
            sum += entry->recentLoad(now);
            ++count;
        }
    }
    return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

template<typename Accept>
std::optional<TargetId> TargetPool::Impl::leastLoaded(Occupancy occupancy, TimePoint now, Accept accept)
{
    std::optional<TargetId> choice;
    double bestLoad = 0.0;
    double bestRecent = 0.0;
    std::uint64_t bestDraw = 0;
    for (const auto &[id, entry] : entries) {
        if (!entry->ready() || !accept(*entry)) {
            continue;
        }
        const double load = entry->load(occupancy, now);
        if (choice && load > bestLoad) {
            continue;
        }
        const double recent = entry->recentLoad(now);
        const std::uint64_t draw = random();
        if (!choice || std::tie(load, recent, draw) < std::tie(bestLoad, bestRecent, bestDraw)) {
            choice = id;
            bestLoad = load;
            bestRecent = recent;
            bestDraw = draw;
        }
    }
    return choice;
}

bool TargetPool::Impl::mayEject(const PoolEntry &candidate) const
{
    std::size_t declared = 0;
    std::size_t ejected = 0;
    std::size_t otherReady = 0;
    for (const auto &[id, entry] : entries) {
        declared += entry->declared ? 1 : 0;
        ejected += entry->declared && entry->health.ejected() ? 1 : 0;
        otherReady += entry.get() != &candidate && entry->ready() ? 1 : 0;
    }
    return 2 * (ejected + 1) <= declared && otherReady > 0;
}

void TargetPool::Impl::updateHealth(PoolEntry &entry, TargetOutcome outcome, TimePoint now)
{
    if (outcome == TargetOutcome::Cancelled) {
        return;
    }
    entry.health.onOutcome(outcome != TargetOutcome::Lost && outcome != TargetOutcome::TimedOut);
    if (!entry.health.ejected() && entry.declared && entry.health.shouldEject() && mayEject(entry)) {
        entry.health.eject(now);
        entry.addReason("ejected after outcome " + std::string(nameOf(outcome)));
    }
}

void TargetPool::Impl::adaptLimit(PoolEntry &entry, TargetOutcome outcome, Microseconds took, TimePoint now)
{
    const std::uint32_t inProgress = entry.inProgress + 1;
    if (outcome == TargetOutcome::Shed) {
        entry.limit.onShed(inProgress, now);
    } else if (outcome == TargetOutcome::Answered) {
        entry.limit.onAnswered(took, inProgress, now);
        constexpr double smoothing = 0.05;
        const auto us = static_cast<double>(std::max<std::int64_t>(took.count(), 1));
        serviceTimeUs = serviceTimeUs > 0 ? serviceTimeUs + smoothing * (us - serviceTimeUs) : us;
    }
}

void TargetPool::Impl::readmitDueTargets(TimePoint now)
{
    lastNow = now;
    for (const auto &[id, entry] : entries) {
        if (entry->health.ejected() && entry->health.ejectedUntil() <= now) {
            // Without recent requests the target would win every tie and get a burst of requests.
            const double mean = meanRecentLoad(now);
            entry->health.readmit(now);
            entry->limit.restartSlowStart();
            entry->recent.set(mean * entry->limit.slots() * entry->health.rampFactor(now), now);
            entry->addReason("readmitted");
        }
        if (entry->reportedDraining && entry->drainingUntil <= now) {
            entry->reportedDraining = false;
            entry->addReason("accepts requests again after it rejected one as draining");
        }
    }
}

TargetPool::TargetPool(std::uint64_t seed)
    : impl_(std::make_unique<Impl>(seed))
{
}

TargetPool::~TargetPool() = default;
TargetPool::TargetPool(TargetPool &&) noexcept = default;
TargetPool &TargetPool::operator=(TargetPool &&) noexcept = default;

void TargetPool::setTargets(const std::vector<Target> &targets, TimePoint now)
{
    impl_->lastNow = now;
    for (const auto &[id, entry] : impl_->entries) {
        entry->declared = false;
    }
    for (const Target &target : targets) {
        impl_->addOrUpdate(target, now);
    }
    impl_->eraseUnusedEntries();
}

std::optional<TargetId> TargetPool::choose(Occupancy occupancy, TimePoint now, std::optional<TargetId> avoid)
{
    return impl_->leastLoaded(occupancy, now, [&](const PoolEntry &entry) { return entry.target.id != avoid; });
}

std::optional<TargetId> TargetPool::chooseWithRoom(Occupancy occupancy, std::uint32_t spare, TimePoint now,
                                                   std::optional<TargetId> avoid)
{
    return impl_->leastLoaded(occupancy, now, [&](const PoolEntry &entry) {
        return entry.target.id != avoid && entry.hasRoom(occupancy, spare, now);
    });
}

bool TargetPool::acceptsNewFlows(TargetId target) const
{
    const PoolEntry *entry = impl_->find(target);
    return entry != nullptr && entry->ready();
}

bool TargetPool::canAnswer(TargetId target) const
{
    return acceptsNewFlows(target);
}

bool TargetPool::hasRoom(TargetId target, Occupancy occupancy) const
{
    return hasRoomBeyond(target, occupancy, 0);
}

bool TargetPool::hasRoomBeyond(TargetId target, Occupancy occupancy, std::uint32_t spare) const
{
    const PoolEntry *entry = impl_->find(target);
    return entry != nullptr && entry->ready() && entry->hasRoom(occupancy, spare, impl_->lastNow);
}

bool TargetPool::exceedsDeclaredSlots(TargetId target) const
{
    const PoolEntry *entry = impl_->find(target);
    return entry != nullptr && entry->inProgress > entry->target.slots;
}

void TargetPool::addQueued(TargetId target, int change)
{
    if (PoolEntry *entry = impl_->find(target)) {
        entry->queued += change;
    }
}

void TargetPool::begin(TargetId target, Occupancy occupancy, TimePoint now)
{
    impl_->lastNow = now;
    PoolEntry *entry = impl_->find(target);
    POPLARROAD_CHECK(entry != nullptr);
    if (entry == nullptr) {
        return;
    }
    (occupancy == Occupancy::Slot ? entry->inProgress : entry->connections) += 1;
    if (occupancy == Occupancy::Slot) {
        entry->recent.add(now);
    }
}

void TargetPool::end(TargetId target, Occupancy occupancy, TargetOutcome outcome, Microseconds took, TimePoint now)
{
    impl_->lastNow = now;
    PoolEntry *entry = impl_->find(target);
    POPLARROAD_CHECK(entry != nullptr);
    if (entry == nullptr) {
        return;
    }
    std::uint32_t &count = occupancy == Occupancy::Slot ? entry->inProgress : entry->connections;
    POPLARROAD_CHECK(count > 0);
    count -= count > 0 ? 1 : 0;
    entry->answered += outcome == TargetOutcome::Answered ? 1 : 0;
    if (outcome == TargetOutcome::Draining) {
        entry->reportedDraining = true;
        entry->drainingUntil = now + DrainingRetryDelay;
        entry->addReason("rejected a request as draining");
    }
    if (occupancy == Occupancy::Slot) {
        impl_->adaptLimit(*entry, outcome, took, now);
    }
    impl_->updateHealth(*entry, outcome, now);
    if (!entry->declared) {
        impl_->eraseUnusedEntries();
    }
}

void TargetPool::onReport(TargetId target, bool healthy, std::uint32_t /*inProgress*/, TimePoint now)
{
    impl_->lastNow = now;
    if (PoolEntry *entry = impl_->find(target)) {
        entry->health.onReport(healthy);
    }
}

void TargetPool::onTimer(TimePoint now)
{
    impl_->readmitDueTargets(now);
}

TimePoint TargetPool::nextTimer() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[id, entry] : impl_->entries) {
        if (entry->health.ejected()) {
            next = std::min(next, entry->health.ejectedUntil());
        }
        if (entry->reportedDraining) {
            next = std::min(next, entry->drainingUntil);
        }
    }
    return next;
}

std::uint32_t TargetPool::limit() const
{
    std::uint32_t sum = 0;
    for (const auto &[id, entry] : impl_->entries) {
        sum += entry->ready() ? entry->limitAt(impl_->lastNow) : 0;
    }
    return sum;
}

std::uint32_t TargetPool::inProgress() const
{
    std::uint32_t sum = 0;
    for (const auto &[id, entry] : impl_->entries) {
        sum += entry->inProgress;
    }
    return sum;
}

Microseconds TargetPool::serviceTime() const
{
    return Microseconds(static_cast<std::int64_t>(impl_->serviceTimeUs));
}

std::vector<TargetStatus> TargetPool::status() const
{
    std::vector<TargetStatus> all;
    for (const auto &[id, entry] : impl_->entries) {
        TargetStatus status;
        status.target = id;
        status.inProgress = entry->inProgress;
        status.connections = entry->connections;
        status.limit = entry->limitAt(impl_->lastNow);
        status.ejected = entry->health.ejected();
        status.draining = entry->reportedDraining || entry->target.state == TargetState::Draining || !entry->declared;
        status.latencyMs = static_cast<double>(entry->limit.latency().count()) / 1000.0;
        status.answered = entry->answered;
        all.push_back(status);
    }
    std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) { return a.target < b.target; });
    return all;
}

std::vector<std::string> TargetPool::explain(TargetId target) const
{
    const PoolEntry *entry = impl_->find(target);
    return entry == nullptr ? std::vector<std::string>{}
                            : std::vector<std::string>(entry->reasons.begin(), entry->reasons.end());
}

} // namespace poplarroad
