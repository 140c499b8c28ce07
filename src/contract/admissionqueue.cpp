#include "admissionqueue.h"

#include "invariant.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace poplarroad
{

namespace
{
/** Fraction of the remaining time that a request may wait; the rest covers its execution and estimation errors. */
constexpr double MaxWaitFraction = 0.5;
constexpr std::size_t QueueLengthPerSlot = 16; ///< requests of one kind
constexpr std::size_t MinQueueCapacity = 64; ///< requests of one kind
constexpr std::size_t MinTargetQueueCapacity = 16; ///< requests of one kind that wait for the same target
constexpr Microseconds DefaultServiceTime{ 10000 }; ///< assumed until the first answer
constexpr double MaxCredit = 2.0; ///< dispatches
/** Credit per unit of minimum share; above 1, since sending to and from targets costs a few percent of slot time. */
constexpr double MinimumShareFactor = 1.05;
constexpr double CreditThreshold = 1.0 - 1e-6; ///< below 1, since ten times 0.1 sums up to a little less than 1
} // namespace

void AdmissionQueue::setContracts(const std::vector<Contract> &contracts)
{
    for (const Contract &contract : contracts) {
        if (KindQueue *known = findKind(contract.kind)) {
            known->contract = contract;
        } else {
            kinds_.emplace_back().contract = contract;
        }
    }
    std::stable_sort(kinds_.begin(), kinds_.end(), [](const KindQueue &a, const KindQueue &b) {
        return std::tie(a.contract.urgency, a.contract.weight) > std::tie(b.contract.urgency, b.contract.weight);
    });
}

AdmissionQueue::KindQueue *AdmissionQueue::findKind(KindId kind)
{
    const auto found =
        std::find_if(kinds_.begin(), kinds_.end(), [&](const KindQueue &other) { return other.contract.kind == kind; });
    return found == kinds_.end() ? nullptr : &*found;
}

std::optional<NotRunReason> AdmissionQueue::admit(const QueuedRequest &request, const PoolCapacity &capacity,
                                                  TimePoint now)
{
    KindQueue *kind = findKind(request.kind);
    if (kind == nullptr) {
        return NotRunReason::UnknownKind;
    }
    if (const auto refusal = refusalOf(*kind, request, capacity, now)) {
        // Only a long queue indicates overload; with a short one, the deadline of this request was too short.
        if (kind->queued >= capacity.limit) {
            kind->lastRefusal = now;
        }
        return refusal;
    }
    insert(*kind, request, nextOrder_++);
    return std::nullopt;
}

std::optional<NotRunReason> AdmissionQueue::refusalOf(const KindQueue &kind, const QueuedRequest &request,
                                                      const PoolCapacity &capacity, TimePoint now) const
{
    if (request.deadline <= now) {
        return NotRunReason::DeadlinePassed;
    }
    const auto targetQueue = request.target ? kind.targetQueues.find(request.target) : kind.targetQueues.end();
    // Without a bound per target, requests for a few targets fill the queue under overload and the other targets idle.
    const bool targetQueueFull = targetQueue != kind.targetQueues.end()
        && targetQueue->second.size() >= std::max(MinTargetQueueCapacity, QueueLengthPerSlot * capacity.targetLimit);
    if (targetQueueFull || kind.queued >= std::max(MinQueueCapacity, QueueLengthPerSlot * capacity.limit)) {
        return NotRunReason::QueueFull;
    }
    const std::chrono::duration<double> remaining = request.deadline - now;
    if (estimatedWait(kind, request, capacity, now) > remaining * MaxWaitFraction) {
        return NotRunReason::DeadlineInfeasible;
    }
    return std::nullopt;
}

Microseconds AdmissionQueue::estimatedWait(const KindQueue &kind, const QueuedRequest &request,
                                           const PoolCapacity &capacity, TimePoint now) const
{
    const Microseconds serviceTime = capacity.serviceTime.count() > 0 ? capacity.serviceTime : DefaultServiceTime;
    const auto serviceUs = static_cast<double>(serviceTime.count());
    const double slots = std::max(capacity.limit, 1U);
    double ahead = capacity.inProgress >= capacity.limit ? 1.0 : 0.0;
    bool moreUrgentRefused = false;
    for (const KindQueue &other : kinds_) {
        ahead += static_cast<double>(other.queued);
        if (&other == &kind) {
            break;
        }
        moreUrgentRefused = moreUrgentRefused || refusedRecently(other, now);
    }
    // While more urgent kinds are refused, they take every slot that becomes free except for the minimum share.
    double waitUs = moreUrgentRefused ? std::numeric_limits<std::int32_t>::max() : ahead * serviceUs / slots;
    if (kind.contract.minimumShare > 0) {
        const double sameKind = static_cast<double>(kind.queued) + 1.0;
        waitUs = std::min(waitUs, sameKind * serviceUs / (slots * kind.contract.minimumShare));
    }
    const auto targetQueue = request.target ? kind.targetQueues.find(request.target) : kind.targetQueues.end();
    if (targetQueue != kind.targetQueues.end()) {
        const auto queuedForTarget = static_cast<double>(targetQueue->second.size());
        // While more urgent kinds are refused, this kind gets only its minimum share of the target, too.
        const double share = moreUrgentRefused && kind.contract.minimumShare > 0 ? kind.contract.minimumShare : 1.0;
        waitUs = std::max(waitUs,
                          (queuedForTarget + (moreUrgentRefused ? 1.0 : 0.0)) * serviceUs
                              / (std::max(capacity.targetLimit, 1U) * share));
    }
    return Microseconds(static_cast<std::int64_t>(waitUs));
}

bool AdmissionQueue::refusedRecently(const KindQueue &kind, TimePoint now)
{
    return kind.lastRefusal != TimePoint{} && now - kind.lastRefusal < ShedDuration;
}

void AdmissionQueue::insert(KindQueue &kind, const QueuedRequest &request, std::uint64_t order)
{
    const bool added = entries_.try_emplace(request.id, Entry{ request, order }).second;
    POPLARROAD_CHECK(added);
    if (!added) {
        return;
    }
    kind.targetQueues[request.target].emplace(order, request.id);
    ++kind.queued;
    deadlines_.emplace(request.deadline, request.id);
}

void AdmissionQueue::erase(RequestId id)
{
    const auto found = entries_.find(id);
    POPLARROAD_CHECK(found != entries_.end());
    const Entry &entry = found->second;
    KindQueue &kind = *findKind(entry.request.kind);
    const auto targetQueue = kind.targetQueues.find(entry.request.target);
    targetQueue->second.erase(entry.order);
    if (targetQueue->second.empty()) {
        kind.targetQueues.erase(targetQueue);
    }
    --kind.queued;
    deadlines_.erase({ entry.request.deadline, id });
    entries_.erase(found);
}

std::optional<AssignedRequest> AdmissionQueue::next(const TargetPicker &pickTarget)
{
    for (KindQueue &kind : kinds_) {
        if (kind.queued > 0 && kind.credit >= CreditThreshold) {
            if (auto assigned = popOldest(kind, pickTarget)) {
                updateCredits(kind);
                return assigned;
            }
        }
    }
    for (KindQueue &kind : kinds_) {
        if (kind.queued > 0) {
            if (auto assigned = popOldest(kind, pickTarget)) {
                updateCredits(kind);
                return assigned;
            }
        }
    }
    return std::nullopt;
}

std::optional<AssignedRequest> AdmissionQueue::popOldest(KindQueue &kind, const TargetPicker &pickTarget)
{
    std::optional<AssignedRequest> best;
    std::uint64_t bestOrder = 0;
    for (const auto &[flowTarget, targetQueue] : kind.targetQueues) {
        const auto &[order, id] = *targetQueue.begin();
        if (best && order > bestOrder) {
            continue;
        }
        const QueuedRequest &request = entries_.at(id).request;
        if (const auto target = pickTarget(request)) {
            best = AssignedRequest{ request, *target };
            bestOrder = order;
        }
    }
    if (best) {
        erase(best->request.id);
    }
    return best;
}

void AdmissionQueue::updateCredits(KindQueue &served)
{
    for (KindQueue &kind : kinds_) {
        kind.credit = std::min(kind.credit + MinimumShareFactor * kind.contract.minimumShare, MaxCredit);
    }
    served.credit = std::max(served.credit - 1.0, 0.0);
}

bool AdmissionQueue::remove(RequestId id)
{
    if (!entries_.contains(id)) {
        return false;
    }
    erase(id);
    return true;
}

std::vector<RequestId> AdmissionQueue::expire(TimePoint now)
{
    std::vector<RequestId> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        expired.push_back(deadlines_.begin()->second);
        erase(expired.back());
    }
    return expired;
}

void AdmissionQueue::unbind(TargetId target)
{
    for (KindQueue &kind : kinds_) {
        const auto found = kind.targetQueues.find(target);
        if (found == kind.targetQueues.end()) {
            continue;
        }
        for (const auto &[order, id] : found->second) {
            entries_.at(id).request.target.reset();
            kind.targetQueues[std::nullopt].emplace(order, id);
        }
        kind.targetQueues.erase(target);
    }
}

std::vector<RequestId> AdmissionQueue::all() const
{
    std::map<std::uint64_t, RequestId> ordered;
    for (const auto &[id, entry] : entries_) {
        ordered.emplace(entry.order, id);
    }
    std::vector<RequestId> ids;
    ids.reserve(ordered.size());
    for (const auto &[order, id] : ordered) {
        ids.push_back(id);
    }
    return ids;
}

TimePoint AdmissionQueue::nextDeadline() const
{
    return deadlines_.empty() ? TimePoint::max() : deadlines_.begin()->first;
}

Urgency AdmissionQueue::shedBelow(TimePoint now) const
{
    // From the least urgent kind upwards, as long as the kind is being refused and has no minimum share.
    Urgency below = Urgency::Low;
    for (auto kind = kinds_.rbegin(); kind != kinds_.rend(); ++kind) {
        const Urgency urgency = kind->contract.urgency;
        if (urgency == Urgency::Critical || kind->contract.minimumShare > 0 || !refusedRecently(*kind, now)) {
            return std::min(below, urgency);
        }
        below = static_cast<Urgency>(static_cast<std::uint8_t>(urgency) + 1);
    }
    return below;
}

} // namespace poplarroad
