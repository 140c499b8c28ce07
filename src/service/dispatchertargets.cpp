#include "contract/invariant.h"
#include "dispatcherimpl.h"

namespace poplarroad
{

RequestRecord *Dispatcher::Impl::findDispatched(TargetId target, RequestId id)
{
    RequestRecord *record = requests.find(id);
    const bool runsAtTarget =
        record != nullptr && record->state == RequestState::Dispatched && record->target == target;
    return runsAtTarget ? record : nullptr;
}

void Dispatcher::Impl::onEvent(TargetResult event)
{
    RequestRecord *record = findDispatched(event.target, event.id);
    if (record == nullptr) {
        return;
    }
    // A target ends a feed by repeating its last position. Results of cancelled runs are not delivered, so this is the
    // current run.
    const bool ended = event.last && event.position == record->lastPosition;
    if (record->isFeed() && !ended && !acceptPosition(*record, event.position)) {
        return;
    }
    const RequestMessage &request = record->request;
    AnswerMessage answer{ request.id,     request.service,
                          request.caller, record->isFeed() ? event.position : 0,
                          event.last,     issueToken(request.id.flow),
                          request.trace,  std::move(event.payload) };
    if (record->isFeed() && !event.last) {
        for (const ReturnPath &path : record->returnPaths) {
            send(path, answer);
        }
        return;
    }
    endAttempt(*record, TargetOutcome::Answered);
    ++counters.answered;
    finish(*record, std::move(answer));
    dispatchQueued();
}

bool Dispatcher::Impl::acceptPosition(RequestRecord &feed, std::uint64_t position)
{
    if (position > feed.lastPosition + 1 && !feed.restarted) {
        // The target skipped a position, so the feed resumes at another target after the last position received.
        actions->emplace_back(CancelAtTarget{ feed.target, feed.request.id });
        endAttempt(feed, TargetOutcome::Lost);
        feed.mayHaveRun = true;
        if (!retry(feed)) {
            finishUnknown(feed, UnknownReason::TargetLost);
        }
        return false;
    }
    if (position != feed.lastPosition + 1) {
        return false; // a repeated position, or one of the run before a restart
    }
    feed.lastPosition = position;
    feed.attempts = 0;
    running_.erase({ feed.deadline, feed.request.id });
    feed.deadline = TimePoint::max(); // the deadline of a feed applies to its first answer only
    return true;
}

void Dispatcher::Impl::onEvent(TargetRefused event)
{
    RequestRecord *record = findDispatched(event.target, event.id);
    if (record == nullptr) {
        return;
    }
    // Beyond the target's declared slots this balancer probes for more capacity; a shed there is no sign of overload.
    const RetryCost cost = event.reason == TargetRefusal::Shed && targets.exceedsDeclaredSlots(event.target)
        ? RetryCost::Free
        : RetryCost::Charged;
    endAttempt(*record, event.reason == TargetRefusal::Shed ? TargetOutcome::Shed : TargetOutcome::Draining);
    // Probes of a target are rare, so these attempts are limited without counting towards MaxAttempts.
    record->attempts -= cost == RetryCost::Free ? 1 : 0;
    if (!retry(*record, cost)) {
        refuse(*record, NotRunReason::TargetRefused);
    }
    moveFeeds();
    dispatchQueued();
}

void Dispatcher::Impl::onEvent(TargetLost event)
{
    RequestRecord *record = findDispatched(event.target, event.id);
    if (record == nullptr) {
        return;
    }
    endAttempt(*record, TargetOutcome::Lost);
    record->mayHaveRun = record->mayHaveRun || event.written;
    if (!retry(*record)) {
        refuse(*record, NotRunReason::NoTarget);
    }
    dispatchQueued();
}

void Dispatcher::Impl::onEvent(TargetReport event)
{
    targets.onReport(event.target, event.healthy, event.inProgress, now);
}

} // namespace poplarroad
