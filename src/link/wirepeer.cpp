#include "link/wireenvelope.h"
#include "poplarroad/visitor.h"

namespace poplarroad
{

namespace
{

template<typename Probe>
void writeProbe(schema::Probe::Builder to, const Probe &probe)
{
    to.setSequence(probe.sequence);
    to.setRevision(probe.revision.value);
    auto updates = to.initUpdates(static_cast<unsigned>(probe.updates.size()));
    for (unsigned i = 0; i < updates.size(); ++i) {
        const HostRecord &host = probe.updates[i].host;
        updates[i].setIp(host.address.ip);
        updates[i].setPort(host.address.port);
        updates[i].setIncarnation(host.incarnation.value);
        updates[i].setEpoch(host.epoch);
        updates[i].setVersion(host.version);
        updates[i].setState(static_cast<std::uint8_t>(host.state));
        updates[i].setRank(host.rank);
    }
}

template<typename Probe>
Probe readProbe(schema::Probe::Reader from)
{
    Probe probe;
    probe.sequence = from.getSequence();
    probe.revision = Revision{ from.getRevision() };
    for (const auto member : from.getUpdates()) {
        HostRecord host;
        host.address = { member.getIp(), member.getPort() };
        host.incarnation = Incarnation{ member.getIncarnation() };
        host.epoch = member.getEpoch();
        host.version = member.getVersion();
        host.state = wire::checkedEnum<HostState>(member.getState());
        host.rank = member.getRank();
        probe.updates.push_back({ host });
    }
    return probe;
}

void writeSummary(schema::ZoneSummary::Builder to, const ZoneSummaryMessage &message)
{
    to.setZone(message.summary.zone.value);
    auto gateways = to.initGateways(static_cast<unsigned>(message.summary.gateways.size()));
    for (unsigned i = 0; i < gateways.size(); ++i) {
        wire::writeAddress(gateways[i], message.summary.gateways[i]);
    }
    to.setLiveHosts(message.summary.liveHosts);
    to.setRevision(message.summary.revision.value);
    to.setReachable(message.summary.reachable);
    to.setAgeMs(message.summary.ageMs);
    to.setWantsReply(message.wantsReply);
}

ZoneSummaryMessage readSummary(schema::ZoneSummary::Reader from)
{
    ZoneSummaryMessage message;
    message.summary.zone = ZoneId{ from.getZone() };
    for (const auto gateway : from.getGateways()) {
        message.summary.gateways.push_back(wire::readAddress(gateway));
    }
    message.summary.liveHosts = from.getLiveHosts();
    message.summary.revision = Revision{ from.getRevision() };
    message.summary.reachable = from.getReachable();
    message.summary.ageMs = from.getAgeMs();
    message.wantsReply = from.getWantsReply();
    return message;
}

PeerDatagram readDatagram(schema::Envelope::Reader envelope)
{
    switch (envelope.which()) {
    case schema::Envelope::PING: {
        auto ping = readProbe<Ping>(envelope.getPing());
        ping.join = envelope.getPing().getJoin();
        ping.digest = envelope.getPing().getDigest();
        return ping;
    }
    case schema::Envelope::ACK: {
        auto ack = readProbe<Ack>(envelope.getAck());
        ack.digest = envelope.getAck().getDigest();
        return ack;
    }
    case schema::Envelope::PING_REQUEST: {
        auto request = readProbe<PingRequest>(envelope.getPingRequest().getProbe());
        request.target = wire::readAddress(envelope.getPingRequest().getTarget());
        return request;
    }
    case schema::Envelope::ZONE_SUMMARY:
        return readSummary(envelope.getZoneSummary());
    default:
        throw wire::DecodeError{ WireError::UnexpectedKind };
    }
}

} // namespace

std::string encodePeerDatagram(const PeerDatagram &datagram)
{
    return wire::writeEnvelope([&](auto envelope) {
        std::visit(Visitor{
                       [&](const Ping &ping) {
                           auto to = envelope.initPing();
                           to.setJoin(ping.join);
                           to.setDigest(ping.digest);
                           writeProbe(to, ping);
                       },
                       [&](const Ack &ack) {
                           auto to = envelope.initAck();
                           to.setDigest(ack.digest);
                           writeProbe(to, ack);
                       },
                       [&](const PingRequest &request) {
                           auto to = envelope.initPingRequest();
                           wire::writeAddress(to.initTarget(), request.target);
                           writeProbe(to.initProbe(), request);
                       },
                       [&](const ZoneSummaryMessage &summary) { writeSummary(envelope.initZoneSummary(), summary); },
                   },
                   datagram);
    });
}

std::optional<PeerDatagram> WireCodec::decodePeerDatagram(std::string_view bytes)
{
    if (bytes.size() > MaxDatagram) {
        lastError_ = WireError::TooLong;
        return std::nullopt;
    }
    return wire::readEnvelope<PeerDatagram>(bytes, lastError_, [](auto envelope) { return readDatagram(envelope); });
}

namespace wire
{

namespace
{

void writePath(schema::ReturnPath::Builder to, const ReturnPath &path)
{
    writeAddress(to.initIngress(), path.ingress);
    to.setEndpoint(path.endpoint);
}

ReturnPath readPath(schema::ReturnPath::Reader from)
{
    return { readAddress(from.getIngress()), from.getEndpoint() };
}

void writeReport(schema::PoolReport::Builder to, const PoolReport &report)
{
    to.setService(report.pool.service.value);
    to.setZone(report.pool.zone.value);
    to.setSaturation(report.saturation);
    to.setShedBelow(static_cast<std::uint8_t>(report.shedBelow));
    to.setShedForMs(static_cast<std::uint32_t>(report.shedFor.count()));
}

PoolReport readReport(schema::PoolReport::Reader from)
{
    return { { ServiceId{ from.getService() }, ZoneId{ from.getZone() } },
             from.getSaturation(),
             checkedEnum<Urgency>(from.getShedBelow()),
             Milliseconds(from.getShedForMs()) };
}

void decodeReplyToken(ReceivedReply &received, TokenCodec &tokens)
{
    const auto token = received.token.empty() ? std::nullopt : tokens.decode(received.token);
    std::visit(Visitor{
                   [&](AnswerMessage &answer) { answer.token = token; },
                   [&](NotRunMessage &notRun) { notRun.token = token; },
                   [](UnknownMessage &) {},
                   [&](RenewedMessage &renewed) {
                       if (!token) {
                           throw DecodeError{ WireError::InvalidValue };
                       }
                       renewed.token = *token;
                   },
               },
               received.reply);
}

ForwardedReply readForwardedReply(schema::ForwardReply::Reader from, TokenCodec &tokens)
{
    ReceivedReply received = readReply(from.getReply());
    decodeReplyToken(received, tokens);
    ForwardedReply reply{ readPath(from.getPath()), std::move(received.reply), std::nullopt };
    if (from.hasReport()) {
        reply.report = readReport(from.getReport());
    }
    return reply;
}

} // namespace

void writeAddress(schema::Address::Builder to, const HostAddress &address)
{
    to.setIp(address.ip);
    to.setPort(address.port);
}

HostAddress readAddress(schema::Address::Reader from)
{
    return { from.getIp(), from.getPort() };
}

void writePeerFrame(schema::Envelope::Builder envelope, const PeerFrame &frame, const TokenCodec &tokens)
{
    std::visit(Visitor{
                   [&](const ForwardedMessage &forwarded) {
                       auto to = envelope.initForward();
                       writePath(to.initPath(), forwarded.path);
                       to.setHops(forwarded.hops);
                       writeCallerMessage(to.initMessage(), forwarded.message,
                                          encodedTokenOf(forwarded.message, tokens));
                   },
                   [&](const ForwardedReply &forwarded) {
                       auto to = envelope.initForwardReply();
                       writePath(to.initPath(), forwarded.path);
                       const auto *answer = std::get_if<AnswerMessage>(&forwarded.reply);
                       writeReply(to.initReply(), forwarded.reply, encodedTokenOf(forwarded.reply, tokens),
                                  { 0, 1, answer == nullptr ? std::string_view() : answer->payload });
                       if (forwarded.report) {
                           writeReport(to.initReport(), *forwarded.report);
                       }
                   },
                   [&](const auto &config) { writeConfig(envelope, config); },
               },
               frame);
}

PeerFrame readPeerFrame(schema::Envelope::Reader envelope, TokenCodec &tokens)
{
    switch (envelope.which()) {
    case schema::Envelope::FORWARD: {
        const auto from = envelope.getForward();
        return ForwardedMessage{ readPath(from.getPath()), from.getHops(),
                                 readCallerMessage(from.getMessage(), &tokens) };
    }
    case schema::Envelope::FORWARD_REPLY:
        return readForwardedReply(envelope.getForwardReply(), tokens);
    default:
        return readConfig(envelope);
    }
}

} // namespace wire

} // namespace poplarroad
