#include "configjson.h"

#include "poplarroad/visitor.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <stdexcept>

namespace poplarroad
{

namespace
{

using nlohmann::json;

/** Thrown for an invalid value and caught in this file, like the JSON library's exceptions for a wrong type. */
struct FormatError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

template<typename Enum>
Enum enumMember(const json &object, const char *name, Enum fallback)
{
    if (!object.contains(name)) {
        return fallback;
    }
    const std::optional<Enum> value = enumFrom<Enum>(object.at(name).get_ref<const std::string &>());
    if (!value) {
        throw FormatError(name);
    }
    return *value;
}

/** @return the number, checked against the range of its type; the JSON library wraps numbers out of range */
template<typename Number>
Number numberFrom(const json &value)
{
    const bool negative = value.is_number_integer() && !value.is_number_unsigned() && value.get<std::int64_t>() < 0;
    if (!value.is_number_integer() || negative || value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
        throw FormatError("number out of range");
    }
    return static_cast<Number>(value.get<std::uint64_t>());
}

template<typename Number>
Number numberMember(const json &object, const char *name, Number fallback)
{
    return object.contains(name) ? numberFrom<Number>(object.at(name)) : fallback;
}

template<typename Identifier, typename FromName>
Identifier idFrom(const json &value, FromName fromName)
{
    if (value.is_string()) {
        return fromName(value.get_ref<const std::string &>());
    }
    return Identifier{ numberFrom<decltype(Identifier::value)>(value) };
}

ZoneId zoneIdFrom(const json &value)
{
    return idFrom<ZoneId>(value, zoneIdOf);
}

ServiceId serviceIdFrom(const json &value)
{
    return idFrom<ServiceId>(value, serviceIdOf);
}

TargetId targetIdFrom(const json &value)
{
    return idFrom<TargetId>(value, targetIdOf);
}

json contractJson(const Contract &contract)
{
    return { { "name", contract.name },
             { "urgency", nameOf(contract.urgency) },
             { "weight", contract.weight },
             { "idempotent", contract.idempotent },
             { "deadlineMs", contract.deadline.count() },
             { "minimumShare", contract.minimumShare },
             { "callerLimit", contract.callerLimit },
             { "occupancy", nameOf(contract.occupancy) } };
}

Contract contractFrom(const json &object)
{
    Contract contract;
    contract.name = object.at("name").get<std::string>();
    contract.kind = kindIdOf(contract.name);
    contract.urgency = enumMember(object, "urgency", contract.urgency);
    contract.weight = numberMember(object, "weight", contract.weight);
    contract.idempotent = object.at("idempotent").get<bool>();
    contract.deadline = Milliseconds(object.value("deadlineMs", contract.deadline.count()));
    contract.minimumShare = object.value("minimumShare", contract.minimumShare);
    contract.callerLimit = numberMember(object, "callerLimit", contract.callerLimit);
    contract.occupancy = enumMember(object, "occupancy", contract.occupancy);
    return contract;
}

json serviceJson(const Service &service)
{
    json contracts = json::array();
    for (const Contract &contract : service.contracts) {
        contracts.push_back(contractJson(contract));
    }
    return { { "name", service.name }, { "contracts", std::move(contracts) } };
}

Service serviceObjectFrom(const json &object)
{
    Service service;
    service.name = object.at("name").get<std::string>();
    service.id = serviceIdOf(service.name);
    for (const json &contract : object.at("contracts")) {
        service.contracts.push_back(contractFrom(contract));
    }
    return service;
}

json targetJson(const Target &target)
{
    return { { "name", target.name },          { "service", target.service.value },
             { "zone", target.zone.value },    { "address", toString(target.address) },
             { "slots", target.slots },        { "connections", target.connections },
             { "state", nameOf(target.state) } };
}

Target targetFrom(const json &object)
{
    Target target;
    target.name = object.at("name").get<std::string>();
    target.id = targetIdOf(target.name);
    target.service = serviceIdFrom(object.at("service"));
    target.zone = zoneIdFrom(object.at("zone"));
    const auto address = parseHostAddress(object.at("address").get_ref<const std::string &>());
    if (!address) {
        throw FormatError("address");
    }
    target.address = *address;
    target.slots = numberMember(object, "slots", target.slots);
    target.connections = numberMember(object, "connections", target.connections);
    target.state = enumMember(object, "state", target.state);
    return target;
}

json linkJson(const Link &link)
{
    return {
        { "from", link.from.value }, { "to", link.to.value }, { "delayUs", link.delay.count() }, { "cost", link.cost }
    };
}

Link linkFrom(const json &object)
{
    return { zoneIdFrom(object.at("from")), zoneIdFrom(object.at("to")),
             Microseconds(object.at("delayUs").get<Microseconds::rep>()), object.value("cost", 1.0) };
}

ConfigEdit editFromMember(const std::string &kind, const json &value)
{
    if (kind == "putZone") {
        const auto name = value.at("name").get<std::string>();
        return PutZone{ Zone{ zoneIdOf(name), name } };
    }
    if (kind == "removeZone") {
        return RemoveZone{ zoneIdFrom(value) };
    }
    if (kind == "putLink") {
        return PutLink{ linkFrom(value) };
    }
    if (kind == "putService") {
        return PutService{ serviceObjectFrom(value) };
    }
    if (kind == "removeService") {
        return RemoveService{ serviceIdFrom(value) };
    }
    if (kind == "putTarget") {
        return PutTarget{ targetFrom(value) };
    }
    if (kind == "setTargetState") {
        return SetTargetState{ targetIdFrom(value.at("target")), enumMember(value, "state", TargetState::Active) };
    }
    if (kind == "removeTarget") {
        return RemoveTarget{ targetIdFrom(value) };
    }
    throw FormatError(kind);
}

/** Splits a sequence of JSON values into JSON arrays of bounded length. */
class ChunkWriter
{
public:
    explicit ChunkWriter(std::size_t maxChunkBytes)
        : maxChunkBytes_(maxChunkBytes)
    {
    }
    void add(const json &value)
    {
        const std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
        if (!chunk_.empty() && chunk_.size() + text.size() + 2 > maxChunkBytes_) {
            closeChunk();
        }
        chunk_ += chunk_.empty() ? '[' : ',';
        chunk_ += text;
    }
    std::vector<std::string> finish()
    {
        closeChunk();
        return std::move(chunks_);
    }

private:
    void closeChunk()
    {
        chunks_.push_back((chunk_.empty() ? "[" : chunk_) + "]");
        chunk_.clear();
    }

    std::size_t maxChunkBytes_;
    std::string chunk_;
    std::vector<std::string> chunks_;
};

/** @return pointers to the entries of a map, sorted by key */
template<typename Map>
auto sortedByKey(const Map &map)
{
    std::vector<decltype(&*map.begin())> entries;
    entries.reserve(map.size());
    for (const auto &entry : map) {
        entries.push_back(&entry);
    }
    std::sort(entries.begin(), entries.end(), [](const auto *a, const auto *b) { return a->first < b->first; });
    return entries;
}

} // namespace

nlohmann::json toJson(const ConfigEdit &edit)
{
    return std::visit(
        Visitor{
            [](const PutZone &put) {
                return json{ { "putZone", { { "name", put.zone.name } } } };
            },
            [](const RemoveZone &remove) {
                return json{ { "removeZone", remove.zone.value } };
            },
            [](const PutLink &put) {
                return json{ { "putLink", linkJson(put.link) } };
            },
            [](const PutService &put) {
                return json{ { "putService", serviceJson(put.service) } };
            },
            [](const RemoveService &remove) {
                return json{ { "removeService", remove.service.value } };
            },
            [](const PutTarget &put) {
                return json{ { "putTarget", targetJson(put.target) } };
            },
            [](const SetTargetState &set) {
                return json{ { "setTargetState", { { "target", set.target.value }, { "state", nameOf(set.state) } } } };
            },
            [](const RemoveTarget &remove) {
                return json{ { "removeTarget", remove.target.value } };
            },
        },
        edit);
}

std::optional<ConfigEdit> editFromJson(const nlohmann::json &json)
{
    try {
        if (!json.is_object() || json.size() != 1) {
            return std::nullopt;
        }
        return editFromMember(json.begin().key(), json.begin().value());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string encodeChange(const ConfigChange &change)
{
    const json object{ { "revision", change.revision.value },
                       { "basedOn", change.basedOn.value },
                       { "changeId", change.changeId },
                       { "edit", toJson(change.edit) } };
    // Replaces invalid UTF-8 in a name by the replacement character instead of throwing.
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ConfigChange> decodeChange(std::string_view text)
{
    try {
        const json object = json::parse(text);
        std::optional<ConfigEdit> edit = editFromJson(object.at("edit"));
        if (!edit) {
            return std::nullopt;
        }
        return ConfigChange{ Revision{ numberFrom<std::uint64_t>(object.at("revision")) },
                             Revision{ numberFrom<std::uint64_t>(object.at("basedOn")) },
                             object.at("changeId").get<std::string>(), std::move(*edit) };
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::vector<std::string> encodeConfiguration(const Configuration &configuration, std::size_t maxChunkBytes)
{
    ChunkWriter writer(maxChunkBytes);
    writer.add(json{ { "revision", configuration.revision().value } });
    for (const auto *entry : sortedByKey(configuration.zones())) {
        writer.add(toJson(PutZone{ entry->second }));
    }
    for (const Link &link : configuration.links()) {
        writer.add(toJson(PutLink{ link }));
    }
    for (const auto *entry : sortedByKey(configuration.services())) {
        writer.add(toJson(PutService{ entry->second }));
    }
    for (const auto *entry : sortedByKey(configuration.targets())) {
        writer.add(toJson(PutTarget{ entry->second }));
    }
    for (const auto *entry : sortedByKey(configuration.lastChanges())) {
        writer.add(json::array({ entry->first, entry->second.value }));
    }
    return writer.finish();
}

std::optional<Configuration> decodeConfiguration(const std::vector<std::string> &chunks)
{
    ConfigurationBuilder builder;
    try {
        for (const std::string &chunk : chunks) {
            for (const json &value : json::parse(chunk)) {
                if (value.is_object() && value.size() != 1) {
                    throw FormatError("object must have one member");
                }
                if (value.is_array()) {
                    builder.lastChange(numberFrom<std::uint64_t>(value.at(0)),
                                       Revision{ numberFrom<std::uint64_t>(value.at(1)) });
                } else if (value.contains("revision")) {
                    builder.revision(Revision{ numberFrom<std::uint64_t>(value.at("revision")) });
                } else {
                    builder.edit(editFromMember(value.begin().key(), value.begin().value()));
                }
            }
        }
    } catch (const std::exception &) {
        return std::nullopt;
    }
    return builder.build();
}

} // namespace poplarroad
