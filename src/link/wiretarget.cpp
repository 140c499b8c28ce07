#include "link/wireenvelope.h"
#include "poplarroad/visitor.h"

namespace poplarroad
{

namespace
{

void writeRunId(schema::RunId::Builder to, const RequestId &id)
{
    to.setFlow(id.flow.value);
    to.setSequence(id.sequence);
}

RequestId readRunId(schema::RunId::Reader from)
{
    return { FlowId{ from.getFlow() }, from.getSequence() };
}

TargetEvent readEvent(schema::Envelope::Reader envelope, TargetId target)
{
    switch (envelope.which()) {
    case schema::Envelope::RESULT: {
        const auto from = envelope.getResult();
        return TargetResult{ target, readRunId(from.getId()), from.getPosition(), from.getLast(),
                             wire::toText(from.getPayload()) };
    }
    case schema::Envelope::REFUSED: {
        const auto from = envelope.getRefused();
        return TargetRefused{ target, readRunId(from.getId()), wire::checkedEnum<TargetRefusal>(from.getReason()) };
    }
    case schema::Envelope::LOAD:
        return TargetReport{ target, envelope.getLoad().getHealthy(), envelope.getLoad().getInProgress() };
    default:
        throw wire::DecodeError{ WireError::UnexpectedKind };
    }
}

TargetCall readCall(schema::Envelope::Reader envelope)
{
    switch (envelope.which()) {
    case schema::Envelope::RUN: {
        const auto from = envelope.getRun();
        return RunAtTarget{ {},
                            from.getConnection() ? Occupancy::Connection : Occupancy::Slot,
                            wire::readRequest(from.getRequest(), nullptr) };
    }
    case schema::Envelope::CANCEL_RUN:
        return CancelAtTarget{ {}, readRunId(envelope.getCancelRun()) };
    default:
        throw wire::DecodeError{ WireError::UnexpectedKind };
    }
}

} // namespace

std::string encodeTargetCall(const TargetCall &call)
{
    return wire::writeEnvelope([&](auto envelope) {
        std::visit(Visitor{
                       [&](const RunAtTarget &run) {
                           auto to = envelope.initRun();
                           to.setConnection(run.occupancy == Occupancy::Connection);
                           wire::writeRequest(to.initRequest(), run.request, {});
                       },
                       [&](const CancelAtTarget &cancel) { writeRunId(envelope.initCancelRun(), cancel.id); },
                   },
                   call);
    });
}

std::string encodeTargetEvent(const TargetEvent &event)
{
    if (std::holds_alternative<TargetLost>(event)) {
        return {};
    }
    return wire::writeEnvelope([&](auto envelope) {
        std::visit(Visitor{
                       [&](const TargetResult &result) {
                           auto to = envelope.initResult();
                           writeRunId(to.initId(), result.id);
                           to.setPosition(result.position);
                           to.setLast(result.last);
                           to.setPayload(wire::toData(result.payload));
                       },
                       [&](const TargetRefused &refused) {
                           auto to = envelope.initRefused();
                           writeRunId(to.initId(), refused.id);
                           to.setReason(static_cast<std::uint8_t>(refused.reason));
                       },
                       [](const TargetLost &) {},
                       [&](const TargetReport &report) {
                           auto to = envelope.initLoad();
                           to.setHealthy(report.healthy);
                           to.setInProgress(report.inProgress);
                       },
                   },
                   event);
    });
}

std::optional<TargetEvent> WireCodec::decodeTargetEvent(std::string_view bytes, TargetId target)
{
    return wire::readEnvelope<TargetEvent>(bytes, lastError_,
                                           [&](auto envelope) { return readEvent(envelope, target); });
}

std::optional<TargetCall> decodeTargetCall(std::string_view bytes, std::optional<WireError> &error)
{
    return wire::readEnvelope<TargetCall>(bytes, error, [](auto envelope) { return readCall(envelope); });
}

} // namespace poplarroad
