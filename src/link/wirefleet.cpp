#include "link/wireenvelope.h"
#include "poplarroad/visitor.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** Groups of routes that differ only in their addresses. */
using RouteGroups = std::vector<std::vector<const ServiceRoute *>>;

bool equalExceptAddress(const ServiceRoute &a, const ServiceRoute &b)
{
    return a.services == b.services && a.kind == b.kind && a.urgency == b.urgency && a.deadline == b.deadline
        && a.latencyGoal == b.latencyGoal;
}

RouteGroups groupRoutes(const ServiceMap &services)
{
    RouteGroups groups;
    for (const auto &entry : services.routes) {
        const ServiceRoute &route = entry.second;
        const auto known = std::find_if(groups.begin(), groups.end(),
                                        [&](const auto &group) { return equalExceptAddress(*group.front(), route); });
        if (known == groups.end()) {
            groups.push_back({ &route });
        } else {
            known->push_back(&route);
        }
    }
    return groups;
}

void writeGroup(schema::RouteGroup::Builder to, const std::vector<const ServiceRoute *> &group)
{
    const ServiceRoute &first = *group.front();
    to.setKind(static_cast<std::uint8_t>(first.kind));
    to.setUrgency(static_cast<std::uint8_t>(first.urgency));
    to.setDeadlineMs(static_cast<std::uint32_t>(first.deadline.count()));
    to.setLatencyGoalMs(static_cast<std::uint32_t>(first.latencyGoal.count()));
    auto weighted = to.initServices(static_cast<unsigned>(first.services.size()));
    for (unsigned i = 0; i < weighted.size(); ++i) {
        weighted[i].setService(first.services[i].service.value);
        weighted[i].setWeight(first.services[i].weight);
    }
    auto addresses = to.initAddresses(static_cast<unsigned>(group.size()));
    for (unsigned i = 0; i < addresses.size(); ++i) {
        addresses.set(i, group[i]->address.key());
    }
}

void writeServices(schema::ServiceMap::Builder to, const ServiceMap &services)
{
    to.setVersion(services.version);
    to.setIdleTimeoutMs(static_cast<std::uint32_t>(services.idleTimeout.count()));
    const RouteGroups groups = groupRoutes(services);
    auto written = to.initGroups(static_cast<unsigned>(groups.size()));
    for (unsigned i = 0; i < written.size(); ++i) {
        writeGroup(written[i], groups[i]);
    }
    auto warmups = to.initWarmups(static_cast<unsigned>(services.warmups.size()));
    unsigned next = 0;
    for (const auto &[service, limit] : services.warmups) {
        warmups[next].setService(service.value);
        warmups[next].setPerSecond(limit.perSecond);
        ++next;
    }
}

ServiceMapPtr readServices(schema::ServiceMap::Reader from)
{
    constexpr unsigned portBits = 16;
    auto services = std::make_shared<ServiceMap>();
    services->version = from.getVersion();
    services->idleTimeout = Milliseconds(from.getIdleTimeoutMs());
    for (const auto group : from.getGroups()) {
        ServiceRoute route;
        route.kind = wire::checkedEnum<RequestKind>(group.getKind());
        route.urgency = wire::checkedEnum<Urgency>(group.getUrgency());
        route.deadline = Milliseconds(group.getDeadlineMs());
        route.latencyGoal = Milliseconds(group.getLatencyGoalMs());
        for (const auto weighted : group.getServices()) {
            route.services.push_back({ ServiceId{ weighted.getService() }, weighted.getWeight() });
        }
        if (route.services.empty()) {
            throw wire::DecodeError{ WireError::InvalidValue };
        }
        for (const std::uint64_t address : group.getAddresses()) {
            route.address = { static_cast<std::uint32_t>(address >> portBits), static_cast<std::uint16_t>(address) };
            services->routes.insert_or_assign(route.address, route);
        }
    }
    for (const auto warmup : from.getWarmups()) {
        constexpr double maxPerSecond = 1e6;
        // The comparisons are false for a NaN too.
        if (!(warmup.getPerSecond() >= 0.0 && warmup.getPerSecond() <= maxPerSecond)) {
            throw wire::DecodeError{ WireError::InvalidValue };
        }
        services->warmups.insert_or_assign(ServiceId{ warmup.getService() }, WarmupLimit{ warmup.getPerSecond() });
    }
    return services;
}

void writeTarget(schema::ListedTarget::Builder to, const TargetChange &change)
{
    const ListedTarget &listed = change.target;
    to.setId(listed.target.id.value);
    to.setInstance(listed.instance);
    to.setRevision(change.revision.value);
    to.setService(listed.target.service.value);
    to.setZone(listed.target.zone.value);
    to.setIp(listed.target.address.ip);
    to.setPort(listed.target.address.port);
    to.setSlots(listed.target.slots);
    to.setWarmupMs(static_cast<std::uint32_t>(listed.warmup.count()));
    to.setState(static_cast<std::uint8_t>(listed.target.state));
    to.setListing(static_cast<std::uint8_t>(change.listing));
    to.setName(listed.target.name);
    to.setNumber(listed.target.number);
}

TargetChange readTarget(schema::ListedTarget::Reader from)
{
    TargetChange change;
    change.revision = Revision{ from.getRevision() };
    change.listing = wire::checkedEnum<ListingState>(from.getListing());
    ListedTarget &listed = change.target;
    listed.instance = from.getInstance();
    listed.warmup = Milliseconds(from.getWarmupMs());
    listed.target.id = TargetId{ from.getId() };
    listed.target.name = from.getName();
    listed.target.number = from.getNumber();
    listed.target.service = ServiceId{ from.getService() };
    listed.target.zone = ZoneId{ from.getZone() };
    listed.target.address = { from.getIp(), from.getPort() };
    listed.target.slots = from.getSlots();
    listed.target.state = wire::checkedEnum<TargetState>(from.getState());
    return change;
}

void writeZones(capnp::List<std::uint32_t>::Builder to, const ZoneEvacuations &evacuations)
{
    for (unsigned i = 0; i < to.size(); ++i) {
        to.set(i, evacuations.zones[i].value);
    }
}

std::vector<ZoneId> readZones(capnp::List<std::uint32_t>::Reader from)
{
    std::vector<ZoneId> zones;
    for (const std::uint32_t zone : from) {
        zones.push_back(ZoneId{ zone });
    }
    return zones;
}

void writeBeacon(schema::DirectoryBeacon::Builder to, const DirectoryBeacon &beacon)
{
    to.setFollowerIp(beacon.follower.ip);
    to.setFollowerPort(beacon.follower.port);
    to.setRelayed(beacon.relayed);
    to.setRank(beacon.rank);
    to.setServiceVersion(beacon.serviceVersion);
    to.setTargets(beacon.targets.value);
    to.setContactAgeMs(beacon.contactAgeMs);
    to.setTargetsDigest(beacon.targetsDigest);
    to.setTargetsContactAgeMs(beacon.targetsContactAgeMs);
    to.setEvacuationsRevision(beacon.evacuations.revision.value);
    writeZones(to.initEvacuatedZones(static_cast<unsigned>(beacon.evacuations.zones.size())), beacon.evacuations);
}

DirectoryBeacon readBeacon(schema::DirectoryBeacon::Reader from)
{
    return { { from.getFollowerIp(), from.getFollowerPort() },
             from.getRank(),
             from.getServiceVersion(),
             Revision{ from.getTargets() },
             from.getContactAgeMs(),
             from.getRelayed(),
             from.getTargetsDigest(),
             from.getTargetsContactAgeMs(),
             { Revision{ from.getEvacuationsRevision() }, readZones(from.getEvacuatedZones()) } };
}

void writeContent(schema::DirectoryContent::Builder to, const DirectoryContent &content)
{
    if (content.services) {
        writeServices(to.initServices(), *content.services);
    }
    to.setTargetsAfter(content.targetsAfter.value);
    to.setTargetsRevision(content.targets.revision.value);
    to.setTargetsComplete(content.targets.complete);
    auto targets = to.initTargets(static_cast<unsigned>(content.targets.changes.size()));
    for (unsigned i = 0; i < targets.size(); ++i) {
        writeTarget(targets[i], content.targets.changes[i]);
    }
    to.setEvacuationsRevision(content.evacuations.revision.value);
    writeZones(to.initEvacuatedZones(static_cast<unsigned>(content.evacuations.zones.size())), content.evacuations);
}

DirectoryContent readContent(schema::DirectoryContent::Reader from)
{
    DirectoryContent content;
    if (from.hasServices()) {
        content.services = readServices(from.getServices());
    }
    content.targetsAfter = Revision{ from.getTargetsAfter() };
    content.targets.revision = Revision{ from.getTargetsRevision() };
    content.targets.complete = from.getTargetsComplete();
    for (const auto target : from.getTargets()) {
        content.targets.changes.push_back(readTarget(target));
    }
    content.evacuations = { Revision{ from.getEvacuationsRevision() }, readZones(from.getEvacuatedZones()) };
    return content;
}

void writeReport(schema::Envelope::Builder envelope, const LoadReport &report)
{
    auto loads = envelope.initLoadReport(static_cast<unsigned>(report.loads.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
        const TargetLoad &load = report.loads[i];
        loads[i].setTarget(load.target.value);
        loads[i].setFlows(load.flows);
        loads[i].setBusy(load.busy);
        loads[i].setStuck(load.stuck);
        loads[i].setSinceProgressMs(load.sinceProgressMs);
        loads[i].setAnswers(load.answers);
        loads[i].setMeanAnswerMs(load.meanAnswerMs);
        loads[i].setShortAnswers(load.shortAnswers);
    }
}

LoadReport readReport(schema::Envelope::Reader envelope)
{
    LoadReport report;
    for (const auto load : envelope.getLoadReport()) {
        report.loads.push_back({ TargetId{ load.getTarget() }, load.getFlows(), load.getBusy(), load.getStuck(),
                                 load.getSinceProgressMs(), load.getAnswers(), load.getMeanAnswerMs(),
                                 load.getShortAnswers() });
    }
    return report;
}

void writeIntroduction(schema::Envelope::Builder envelope, const ZoneIntroduction &introduction)
{
    auto hosts = envelope.initZoneIntroduction(static_cast<unsigned>(introduction.hosts.size()));
    for (unsigned i = 0; i < hosts.size(); ++i) {
        wire::writeAddress(hosts[i], introduction.hosts[i]);
    }
}

ZoneIntroduction readIntroduction(schema::Envelope::Reader envelope)
{
    ZoneIntroduction introduction;
    for (const auto host : envelope.getZoneIntroduction()) {
        introduction.hosts.push_back(wire::readAddress(host));
    }
    return introduction;
}

FleetMessage readFleetMessage(schema::Envelope::Reader envelope)
{
    switch (envelope.which()) {
    case schema::Envelope::DIRECTORY_BEACON:
        return readBeacon(envelope.getDirectoryBeacon());
    case schema::Envelope::DIRECTORY_REQUEST:
        return DirectoryRequest{ envelope.getDirectoryRequest().getServiceVersion(),
                                 Revision{ envelope.getDirectoryRequest().getTargets() },
                                 envelope.getDirectoryRequest().getChangesOnly(),
                                 envelope.getDirectoryRequest().getDiffers() };
    case schema::Envelope::DIRECTORY_CONTENT:
        return readContent(envelope.getDirectoryContent());
    case schema::Envelope::ZONE_INTRODUCTION:
        return readIntroduction(envelope);
    case schema::Envelope::LOAD_REPORT:
        return readReport(envelope);
    default:
        throw wire::DecodeError{ WireError::UnexpectedKind };
    }
}

} // namespace

std::string encodeFleetMessage(const FleetMessage &message)
{
    return wire::writeEnvelope([&](auto envelope) {
        std::visit(Visitor{
                       [&](const DirectoryBeacon &beacon) { writeBeacon(envelope.initDirectoryBeacon(), beacon); },
                       [&](const DirectoryRequest &request) {
                           auto to = envelope.initDirectoryRequest();
                           to.setServiceVersion(request.serviceVersion);
                           to.setTargets(request.targets.value);
                           to.setChangesOnly(request.changesOnly);
                           to.setDiffers(request.differs);
                       },
                       [&](const DirectoryContent &content) { writeContent(envelope.initDirectoryContent(), content); },
                       [&](const ZoneIntroduction &introduction) { writeIntroduction(envelope, introduction); },
                       [&](const LoadReport &report) { writeReport(envelope, report); },
                   },
                   message);
    });
}

std::optional<FleetMessage> WireCodec::decodeFleetMessage(std::string_view bytes)
{
    return wire::readEnvelope<FleetMessage>(bytes, lastError_,
                                            [](auto envelope) { return readFleetMessage(envelope); });
}

} // namespace poplarroad
