#include "configwriter.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

constexpr std::string_view BaseTooOld =
    "basedOn: older than the stored changes; read the configuration to see whether the change is in force";

ChangeOutcome outcomeOfLoggedChange(const ConfigChange &logged, const ChangeRequest &request)
{
    if (logged.edit != request.edit) {
        return { ChangeResult::Refused, logged.revision, "changeId: already used for another edit" };
    }
    return { ChangeResult::Accepted, logged.revision, {} };
}

} // namespace

ConfigWriter::ConfigWriter(ConfigReplica &replica, ConfigWriterLimits limits, std::uint64_t seed)
    : replica_(replica)
    , limits_(limits)
    , random_(seed)
{
}

void ConfigWriter::submit(std::uint64_t call, ChangeRequest request, TimePoint now, ConfigWriterActions &actions)
{
    if (request.changeId.empty()) {
        const ChangeOutcome outcome{ ChangeResult::Refused, replica_.revision(), "changeId: must not be empty" };
        actions.emplace_back(ReplyToOperator{ call, outcome });
        return;
    }
    if (calls_.size() >= limits_.maxChangesInProgress) {
        const ChangeOutcome outcome{ ChangeResult::Unreachable, replica_.revision(), "too many changes in progress" };
        actions.emplace_back(ReplyToOperator{ call, outcome });
        return;
    }
    calls_.push_back({ call, std::move(request), now + limits_.deadline, std::nullopt, std::nullopt });
    if (step_ == Step::Idle) {
        resume(now, actions);
    }
}

void ConfigWriter::resume(TimePoint now, ConfigWriterActions &actions)
{
    step_ = Step::Idle;
    retryAt_ = TimePoint::max();
    if (calls_.empty()) {
        return;
    }
    Call &call = calls_.front();
    if (finishFromReplica(call, now, actions) || searchStore(call, actions)) {
        return;
    }
    if (call.attemptedRevision) {
        create(call, actions);
        return;
    }
    if (call.request.basedOn > replica_.revision()) {
        read(Step::CatchUp, Revision{ replica_.revision().value + 1 }, actions);
        return;
    }
    if (std::optional<ChangeOutcome> outcome = validate(call)) {
        finish(std::move(*outcome), now, actions);
        return;
    }
    create(call, actions);
}

bool ConfigWriter::finishFromReplica(Call &call, TimePoint now, ConfigWriterActions &actions)
{
    if (const ConfigChange *logged = replica_.findChange(call.request.changeId)) {
        finish(outcomeOfLoggedChange(*logged, call.request), now, actions);
        return true;
    }
    if (!call.attemptedRevision || *call.attemptedRevision > replica_.revision()) {
        return false;
    }
    if (replica_.hasChangesSince(Revision{ call.attemptedRevision->value - 1 })) {
        // Another change has this revision, so create-if-absent can no longer write this one.
        call.attemptedRevision.reset();
        return false;
    }
    finish({ ChangeResult::Unknown, replica_.revision(), "the log no longer contains the revision of this change" },
           now, actions);
    return true;
}

bool ConfigWriter::searchStore(Call &call, ConfigWriterActions &actions)
{
    if (replica_.hasChangesSince(call.searchedUpTo.value_or(call.request.basedOn))) {
        return false;
    }
    if (call.searchedUpTo) {
        read(Step::Search, Revision{ call.searchedUpTo->value + 1 }, actions);
    } else {
        actions.emplace_back(ReadFloor{ beginOperation(Step::SearchFloor) });
    }
    return true;
}

std::optional<ChangeOutcome> ConfigWriter::validate(const Call &call) const
{
    const Configuration &configuration = *replica_.configuration();
    const Revision last = configuration.lastChangeOf(call.request.edit);
    if (last > call.request.basedOn) {
        return ChangeOutcome{ ChangeResult::Conflict, last, "the object was changed after the base revision" };
    }
    if (const std::optional<ConfigError> error = configuration.check(call.request.edit)) {
        return ChangeOutcome{ ChangeResult::Refused, replica_.revision(), std::string(nameOf(*error)) };
    }
    return std::nullopt;
}

void ConfigWriter::create(Call &call, ConfigWriterActions &actions)
{
    if (!call.attemptedRevision) {
        call.attemptedRevision = Revision{ replica_.revision().value + 1 };
    }
    const std::uint64_t operationId = beginOperation(Step::Create);
    const ChangeRequest &request = call.request;
    actions.emplace_back(CreateChange{
        operationId, ConfigChange{ *call.attemptedRevision, request.basedOn, request.changeId, request.edit } });
    candidate_ = std::get<CreateChange>(actions.back()).change;
}

void ConfigWriter::onCreated(std::uint64_t operationId, CreateResult result, TimePoint now,
                             ConfigWriterActions &actions)
{
    if (!isCurrent(operationId, Step::Create)) {
        return;
    }
    Call &call = calls_.front();
    switch (result) {
    case CreateResult::Written:
        mayBeWritten_ = true;
        verify(ConfigChange(candidate_), actions);
        return;
    case CreateResult::Taken:
    case CreateResult::MayBeWritten:
        mayBeWritten_ = true;
        read(Step::ReadBack, *call.attemptedRevision, actions);
        return;
    case CreateResult::NotWritten:
        if (!mayBeWritten_) {
            call.attemptedRevision.reset();
        }
        retryLater(now);
        return;
    }
}

void ConfigWriter::read(Step step, Revision revision, ConfigWriterActions &actions)
{
    const std::uint64_t operationId = beginOperation(step);
    actions.emplace_back(ReadChange{ operationId, revision });
}

void ConfigWriter::onRead(std::uint64_t operationId, ReadResult result, const std::optional<ConfigChange> &change,
                          TimePoint now, ConfigWriterActions &actions)
{
    if (operationId != operationId_ || (step_ != Step::Search && step_ != Step::CatchUp && step_ != Step::ReadBack)) {
        return;
    }
    if (result == ReadResult::Failed || (result == ReadResult::Found && !change)) {
        retryLater(now);
    } else if (step_ == Step::Search) {
        onSearched(result, change, now, actions);
    } else if (result == ReadResult::Found) {
        verify(*change, actions);
    } else {
        onAbsent(now, actions);
    }
}

void ConfigWriter::onSearchFloor(std::optional<Revision> floor, TimePoint now, ConfigWriterActions &actions)
{
    Call &call = calls_.front();
    if (!floor) {
        retryLater(now);
    } else if (*floor > call.request.basedOn) {
        finish({ ChangeResult::Unknown, replica_.revision(), std::string(BaseTooOld) }, now, actions);
    } else {
        call.searchedUpTo = call.request.basedOn;
        resume(now, actions);
    }
}

void ConfigWriter::onSearched(ReadResult result, const std::optional<ConfigChange> &change, TimePoint now,
                              ConfigWriterActions &actions)
{
    Call &call = calls_.front();
    if (result == ReadResult::Absent) {
        finish({ ChangeResult::Unknown, replica_.revision(), std::string(BaseTooOld) }, now, actions);
        return;
    }
    if (change->changeId == call.request.changeId) {
        verify(*change, actions);
        return;
    }
    call.searchedUpTo = change->revision;
    resume(now, actions);
}

void ConfigWriter::onAbsent(TimePoint now, ConfigWriterActions &actions)
{
    if (step_ == Step::ReadBack) {
        // The unanswered write may still take effect, so only another attempt at the same revision settles the result.
        retryLater(now);
        return;
    }
    actions.emplace_back(LoadSnapshot{});
    retryLater(now);
}

void ConfigWriter::verify(const ConfigChange &candidate, ConfigWriterActions &actions)
{
    candidate_ = candidate;
    const std::uint64_t operationId = beginOperation(Step::Verify);
    actions.emplace_back(ReadFloor{ operationId });
}

void ConfigWriter::onFloor(std::uint64_t operationId, std::optional<Revision> floor, TimePoint now,
                           ConfigWriterActions &actions)
{
    if (isCurrent(operationId, Step::SearchFloor)) {
        onSearchFloor(floor, now, actions);
        return;
    }
    if (!isCurrent(operationId, Step::Verify)) {
        return;
    }
    if (!floor) {
        retryLater(now);
        return;
    }
    Call &call = calls_.front();
    const bool own = candidate_.changeId == call.request.changeId;
    if (*floor >= candidate_.revision) {
        actions.emplace_back(LoadSnapshot{});
        const ChangeResult result = call.attemptedRevision || own ? ChangeResult::Unknown : ChangeResult::Unreachable;
        finish({ result, replica_.revision(), "this balancer was behind the store; repeat the call" }, now, actions);
        return;
    }
    actions.emplace_back(ApplyStoredChanges{ { candidate_ } });
    if (own) {
        finish(outcomeOfLoggedChange(candidate_, call.request), now, actions);
        return;
    }
    if (call.attemptedRevision == candidate_.revision) {
        call.attemptedRevision.reset();
        mayBeWritten_ = false;
    }
    failures_ = 0;
    resumeAt(now);
}

void ConfigWriter::onTimer(TimePoint now, ConfigWriterActions &actions)
{
    expireCalls(now, actions);
    if (step_ == Step::Resume && now >= retryAt_) {
        resume(now, actions);
    }
}

void ConfigWriter::expireCalls(TimePoint now, ConfigWriterActions &actions)
{
    while (!calls_.empty() && calls_.front().deadline <= now) {
        const ChangeResult result =
            calls_.front().attemptedRevision ? ChangeResult::Unknown : ChangeResult::Unreachable;
        const std::string detail = "the store did not answer in time";
        actions.emplace_back(ReplyToOperator{ calls_.front().number, { result, replica_.revision(), detail } });
        calls_.pop_front();
        mayBeWritten_ = false;
        resumeAt(now);
    }
    if (calls_.empty()) {
        step_ = Step::Idle;
        retryAt_ = TimePoint::max();
    }
}

void ConfigWriter::finish(ChangeOutcome outcome, TimePoint now, ConfigWriterActions &actions)
{
    actions.emplace_back(ReplyToOperator{ calls_.front().number, std::move(outcome) });
    calls_.pop_front();
    mayBeWritten_ = false;
    failures_ = 0;
    if (calls_.empty()) {
        step_ = Step::Idle;
        retryAt_ = TimePoint::max();
    } else {
        resumeAt(now);
    }
}

TimePoint ConfigWriter::nextTimer() const
{
    if (calls_.empty()) {
        return TimePoint::max();
    }
    return step_ == Step::Resume ? std::min(retryAt_, calls_.front().deadline) : calls_.front().deadline;
}

void ConfigWriter::resumeAt(TimePoint due)
{
    step_ = Step::Resume;
    retryAt_ = due;
}

void ConfigWriter::retryLater(TimePoint now)
{
    constexpr unsigned maxShift = 6;
    const Milliseconds backoff = limits_.initialBackoff * (1U << std::min(failures_, maxShift));
    const Milliseconds bound = std::min(backoff, limits_.maxBackoff);
    ++failures_;
    resumeAt(now + Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, bound.count())(random_)));
}

bool ConfigWriter::isCurrent(std::uint64_t operationId, Step step) const
{
    return step_ == step && operationId_ == operationId;
}

std::uint64_t ConfigWriter::beginOperation(Step step)
{
    step_ = step;
    retryAt_ = TimePoint::max();
    return ++operationId_;
}

} // namespace poplarroad
