#include "link/operatorwire.h"

#include <algorithm>
#include <cmath>

namespace poplarroad
{

namespace
{

template<typename Enum, typename RpcEnum>
RpcEnum toRpc(Enum value)
{
    return static_cast<RpcEnum>(static_cast<std::uint16_t>(value));
}

template<typename Enum, typename RpcEnum>
std::optional<Enum> fromRpc(RpcEnum value)
{
    const auto number = static_cast<std::uint16_t>(value);
    if (number >= EnumNames<Enum>::table.size()) {
        return std::nullopt;
    }
    return static_cast<Enum>(number);
}

std::string toText(capnp::Text::Reader reader)
{
    return { reader.cStr(), reader.size() };
}

void writeContract(const Contract &contract, rpc::Contract::Builder builder)
{
    builder.setKind(contract.name);
    builder.setUrgency(toRpc<Urgency, rpc::Urgency>(contract.urgency));
    builder.setWeight(contract.weight);
    builder.setIdempotent(contract.idempotent);
    builder.setDeadlineMilliseconds(static_cast<std::uint32_t>(contract.deadline.count()));
    builder.setMinimumShare(contract.minimumShare);
    builder.setCallerLimit(contract.callerLimit);
    builder.setOccupancy(toRpc<Occupancy, rpc::Occupancy>(contract.occupancy));
}

void writeTarget(const Target &target, const Configuration &configuration, rpc::Target::Builder builder)
{
    const Service *service = configuration.findService(target.service);
    builder.setName(target.name);
    builder.setService(service ? service->name : std::string());
    builder.setZone(zoneName(configuration, target.zone));
    builder.setAddress(toString(target.address));
    builder.setSlots(target.slots);
    builder.setConnections(target.connections);
    builder.setState(toRpc<TargetState, rpc::TargetState>(target.state));
}

/** @return pointers to the values of a map, sorted by name, so that reads of the same revision give equal messages */
template<typename Value, typename Map>
std::vector<const Value *> sortedByName(const Map &map)
{
    std::vector<const Value *> values;
    values.reserve(map.size());
    for (const auto &entry : map) {
        values.push_back(&entry.second);
    }
    std::sort(values.begin(), values.end(), [](const Value *a, const Value *b) { return a->name < b->name; });
    return values;
}

} // namespace

std::nullopt_t OperatorReader::refuse(OperatorError error, std::string detail)
{
    lastError_ = error;
    lastDetail_ = std::move(detail);
    return std::nullopt;
}

bool OperatorReader::requireName(const char *field, std::string_view value)
{
    if (value.empty()) {
        refuse(OperatorError::EmptyName, std::string(field) + " is empty; a name is expected");
        return false;
    }
    return true;
}

std::optional<ConfigEdit> OperatorReader::readZone(rpc::Zone::Reader zone)
{
    const std::string name = toText(zone.getName());
    if (!requireName("zone name", name)) {
        return std::nullopt;
    }
    return PutZone{ Zone{ zoneIdOf(name), name } };
}

std::optional<ConfigEdit> OperatorReader::readLink(rpc::Link::Reader link)
{
    const std::string from = toText(link.getFrom());
    const std::string to = toText(link.getTo());
    if (!requireName("link from", from) || !requireName("link to", to)) {
        return std::nullopt;
    }
    if (!std::isfinite(link.getCost()) || link.getCost() < 0.0) {
        return refuse(OperatorError::BadValue,
                      "link cost " + std::to_string(link.getCost()) + "; 0 or more is expected");
    }
    return PutLink{ Link{ zoneIdOf(from), zoneIdOf(to), Microseconds(link.getDelayMicroseconds()), link.getCost() } };
}

std::optional<Contract> OperatorReader::readContract(rpc::Contract::Reader reader)
{
    Contract contract;
    contract.name = toText(reader.getKind());
    contract.kind = kindIdOf(contract.name);
    const auto urgency = fromRpc<Urgency>(reader.getUrgency());
    const auto occupancy = fromRpc<Occupancy>(reader.getOccupancy());
    if (!requireName("contract kind", contract.name)) {
        return std::nullopt;
    }
    if (!urgency || !occupancy) {
        return refuse(OperatorError::BadValue, "contract " + contract.name + ": unknown urgency or occupancy");
    }
    if (reader.getDeadlineMilliseconds() == 0 || reader.getWeight() == 0 || reader.getCallerLimit() == 0) {
        return refuse(OperatorError::BadValue,
                      "contract " + contract.name + ": deadline, weight and caller limit must be greater than 0");
    }
    if (!(reader.getMinimumShare() >= 0.0 && reader.getMinimumShare() <= 1.0)) {
        return refuse(OperatorError::BadValue,
                      "contract " + contract.name + ": minimum share " + std::to_string(reader.getMinimumShare())
                          + "; 0 to 1 is expected");
    }
    contract.urgency = *urgency;
    contract.occupancy = *occupancy;
    contract.weight = reader.getWeight();
    contract.idempotent = reader.getIdempotent();
    contract.deadline = Milliseconds(reader.getDeadlineMilliseconds());
    contract.minimumShare = reader.getMinimumShare();
    contract.callerLimit = reader.getCallerLimit();
    return contract;
}

std::optional<ConfigEdit> OperatorReader::readService(rpc::Service::Reader reader)
{
    Service service;
    service.name = toText(reader.getName());
    service.id = serviceIdOf(service.name);
    if (!requireName("service name", service.name)) {
        return std::nullopt;
    }
    for (const auto entry : reader.getContracts()) {
        std::optional<Contract> contract = readContract(entry);
        if (!contract) {
            return std::nullopt;
        }
        service.contracts.push_back(std::move(*contract));
    }
    return PutService{ std::move(service) };
}

std::optional<ConfigEdit> OperatorReader::readTarget(rpc::Target::Reader reader)
{
    Target target;
    target.name = toText(reader.getName());
    target.id = targetIdOf(target.name);
    target.service = serviceIdOf(toText(reader.getService()));
    target.zone = zoneIdOf(toText(reader.getZone()));
    if (!requireName("target name", target.name)) {
        return std::nullopt;
    }
    const auto address = parseHostAddress(toText(reader.getAddress()));
    const auto state = fromRpc<TargetState>(reader.getState());
    if (!address) {
        return refuse(OperatorError::BadAddress,
                      "target " + target.name + ": address \"" + toText(reader.getAddress())
                          + "\"; a.b.c.d:port is expected");
    }
    if (!state || reader.getSlots() == 0) {
        return refuse(OperatorError::BadValue,
                      "target " + target.name + ": slots must be greater than 0 and the state known");
    }
    target.address = *address;
    target.state = *state;
    target.slots = reader.getSlots();
    target.connections = reader.getConnections();
    return PutTarget{ std::move(target) };
}

std::optional<ConfigEdit> OperatorReader::readEdit(rpc::Edit::Reader edit)
{
    switch (edit.which()) {
    case rpc::Edit::PUT_ZONE:
        return readZone(edit.getPutZone());
    case rpc::Edit::REMOVE_ZONE:
        return RemoveZone{ zoneIdOf(toText(edit.getRemoveZone())) };
    case rpc::Edit::PUT_LINK:
        return readLink(edit.getPutLink());
    case rpc::Edit::PUT_SERVICE:
        return readService(edit.getPutService());
    case rpc::Edit::REMOVE_SERVICE:
        return RemoveService{ serviceIdOf(toText(edit.getRemoveService())) };
    case rpc::Edit::PUT_TARGET:
        return readTarget(edit.getPutTarget());
    case rpc::Edit::DRAIN_TARGET:
        return SetTargetState{ targetIdOf(toText(edit.getDrainTarget())), TargetState::Draining };
    case rpc::Edit::ACTIVATE_TARGET:
        return SetTargetState{ targetIdOf(toText(edit.getActivateTarget())), TargetState::Active };
    case rpc::Edit::REMOVE_TARGET:
        return RemoveTarget{ targetIdOf(toText(edit.getRemoveTarget())) };
    }
    return refuse(OperatorError::UnknownEdit, "unknown kind of edit");
}

std::string zoneName(const Configuration &configuration, ZoneId zone)
{
    const Zone *found = configuration.findZone(zone);
    return found ? found->name : "#" + std::to_string(zone.value);
}

void writeConfiguration(const Configuration &configuration, rpc::Configuration::Builder builder)
{
    builder.setRevision(configuration.revision().value);
    const auto zones = sortedByName<Zone>(configuration.zones());
    auto zoneList = builder.initZones(zones.size());
    for (std::size_t i = 0; i < zones.size(); ++i) {
        zoneList[i].setName(zones[i]->name);
    }
    auto linkList = builder.initLinks(configuration.links().size());
    for (std::size_t i = 0; i < configuration.links().size(); ++i) {
        const Link &link = configuration.links()[i];
        linkList[i].setFrom(zoneName(configuration, link.from));
        linkList[i].setTo(zoneName(configuration, link.to));
        linkList[i].setDelayMicroseconds(static_cast<std::uint64_t>(link.delay.count()));
        linkList[i].setCost(link.cost);
    }
    const auto services = sortedByName<Service>(configuration.services());
    auto serviceList = builder.initServices(services.size());
    for (std::size_t i = 0; i < services.size(); ++i) {
        serviceList[i].setName(services[i]->name);
        auto contracts = serviceList[i].initContracts(services[i]->contracts.size());
        for (std::size_t j = 0; j < services[i]->contracts.size(); ++j) {
            writeContract(services[i]->contracts[j], contracts[j]);
        }
    }
    const auto targets = sortedByName<Target>(configuration.targets());
    auto targetList = builder.initTargets(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i) {
        writeTarget(*targets[i], configuration, targetList[i]);
    }
}

void writeOutcome(const ChangeOutcome &outcome, rpc::ChangeOutcome::Builder builder)
{
    builder.setResult(toRpc<ChangeResult, rpc::ChangeResult>(outcome.result));
    builder.setRevision(outcome.revision.value);
    builder.setDetail(outcome.detail);
}

void writePool(const PoolStatus &pool, const Configuration &configuration, rpc::PoolStatus::Builder builder)
{
    const Service *service = configuration.findService(pool.pool.service);
    builder.setService(service ? service->name : std::string());
    builder.setZone(zoneName(configuration, pool.pool.zone));
    builder.setFlows(pool.flows);
    builder.setQueued(pool.queued);
    builder.setInProgress(pool.inProgress);
    builder.setFeeds(pool.feeds);
    builder.setAnswered(pool.answered);
    builder.setNotRun(pool.notRun);
    builder.setUnknown(pool.unknown);
    builder.setDuplicates(pool.duplicates);
    builder.setSaturation(pool.report.saturation);
    builder.setShedBelow(toRpc<Urgency, rpc::Urgency>(pool.report.shedBelow));
}

} // namespace poplarroad
