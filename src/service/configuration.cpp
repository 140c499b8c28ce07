#include "poplarroad/configuration.h"

#include "poplarroad/visitor.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

enum class ObjectClass : std::uint64_t {
    Zone = 1,
    Link,
    Service,
    Target,
};

std::uint64_t objectKey(ObjectClass objectClass, std::uint64_t id)
{
    return rendezvousWeight(static_cast<std::uint64_t>(objectClass), id);
}

bool connects(const Link &link, ZoneId a, ZoneId b)
{
    return (link.from == a && link.to == b) || (link.from == b && link.to == a);
}

bool isValid(const Contract &contract)
{
    return !contract.name.empty() && contract.kind == kindIdOf(contract.name) && contract.deadline.count() > 0
        && contract.minimumShare >= 0.0 && contract.minimumShare <= 1.0 && contract.weight > 0
        && contract.callerLimit > 0;
}

bool isValid(const Service &service)
{
    double shares = 0.0;
    for (const Contract &contract : service.contracts) {
        if (!isValid(contract)) {
            return false;
        }
        shares += contract.minimumShare;
    }
    return !service.name.empty() && service.id == serviceIdOf(service.name) && shares <= 1.0;
}

bool changesIdempotency(const Service &existing, const Service &proposed)
{
    return std::any_of(proposed.contracts.begin(), proposed.contracts.end(), [&](const Contract &contract) {
        const Contract *before = existing.findContract(contract.kind);
        return before && before->idempotent != contract.idempotent;
    });
}

bool isValid(const Target &target)
{
    return !target.name.empty() && target.id == targetIdOf(target.name) && target.slots > 0 && target.address.port != 0;
}

} // namespace

std::uint64_t objectKeyOf(const ConfigEdit &edit)
{
    return std::visit(
        Visitor{
            [](const PutZone &put) { return objectKey(ObjectClass::Zone, put.zone.id.value); },
            [](const RemoveZone &remove) { return objectKey(ObjectClass::Zone, remove.zone.value); },
            [](const PutLink &put) {
                const auto [low, high] = std::minmax(put.link.from.value, put.link.to.value);
                return objectKey(ObjectClass::Link, (static_cast<std::uint64_t>(low) << 32U) | high);
            },
            [](const PutService &put) { return objectKey(ObjectClass::Service, put.service.id.value); },
            [](const RemoveService &remove) { return objectKey(ObjectClass::Service, remove.service.value); },
            [](const PutTarget &put) { return objectKey(ObjectClass::Target, put.target.id.value); },
            [](const SetTargetState &set) { return objectKey(ObjectClass::Target, set.target.value); },
            [](const RemoveTarget &remove) { return objectKey(ObjectClass::Target, remove.target.value); },
        },
        edit);
}

const Zone *Configuration::findZone(ZoneId id) const
{
    const auto found = zones_.find(id);
    return found == zones_.end() ? nullptr : &found->second;
}

const Service *Configuration::findService(ServiceId id) const
{
    return services_.get(id);
}

const Target *Configuration::findTarget(TargetId id) const
{
    return targets_.get(id);
}

const Link *Configuration::findLink(ZoneId a, ZoneId b) const
{
    const auto found =
        std::find_if(links_.begin(), links_.end(), [&](const Link &link) { return connects(link, a, b); });
    return found == links_.end() ? nullptr : &*found;
}

const std::vector<TargetId> &Configuration::targetsOf(const PoolId &pool) const
{
    static const std::vector<TargetId> empty;
    const std::vector<TargetId> *found = pools_.get(pool);
    return found ? *found : empty;
}

std::vector<PoolId> Configuration::pools() const
{
    std::vector<PoolId> pools;
    pools.reserve(pools_.size());
    for (const auto &entry : pools_) {
        pools.push_back(entry.first);
    }
    std::sort(pools.begin(), pools.end());
    return pools;
}

std::vector<ZoneId> Configuration::zonesOf(ServiceId service) const
{
    std::vector<ZoneId> zones;
    for (const auto &entry : zones_) {
        if (pools_.contains(PoolId{ service, entry.first })) {
            zones.push_back(entry.first);
        }
    }
    std::sort(zones.begin(), zones.end());
    return zones;
}

std::uint32_t Configuration::slotsOf(const PoolId &pool) const
{
    std::uint32_t slots = 0;
    for (const TargetId id : targetsOf(pool)) {
        const Target &target = targets_.at(id);
        slots += target.state == TargetState::Active ? target.slots : 0U;
    }
    return slots;
}

Revision Configuration::lastChangeOf(const ConfigEdit &edit) const
{
    const Revision *found = lastChanges_.get(objectKeyOf(edit));
    return found ? *found : Revision{};
}

std::optional<ConfigError> Configuration::check(const ConfigEdit &edit) const
{
    using Result = std::optional<ConfigError>;
    const auto isZoneUsed = [this](ZoneId zone) {
        return std::any_of(targets_.begin(), targets_.end(),
                           [&](const auto &entry) { return entry.second.zone == zone; });
    };
    const auto isServiceUsed = [this](ServiceId service) {
        return std::any_of(targets_.begin(), targets_.end(),
                           [&](const auto &entry) { return entry.second.service == service; });
    };
    return std::visit(
        Visitor{
            [&](const PutZone &put) -> Result {
                const Zone *existing = findZone(put.zone.id);
                if (put.zone.name.empty() || put.zone.id != zoneIdOf(put.zone.name)) {
                    return ConfigError::InvalidValue;
                }
                return existing && existing->name != put.zone.name ? Result(ConfigError::IdTaken) : std::nullopt;
            },
            [&](const RemoveZone &remove) -> Result {
                if (!findZone(remove.zone)) {
                    return ConfigError::UnknownZone;
                }
                return isZoneUsed(remove.zone) ? Result(ConfigError::StillUsed) : std::nullopt;
            },
            [&](const PutLink &put) -> Result {
                if (!findZone(put.link.from) || !findZone(put.link.to)) {
                    return ConfigError::UnknownZone;
                }
                const bool valid = put.link.from != put.link.to && put.link.delay.count() >= 0 && put.link.cost >= 0.0;
                return valid ? std::nullopt : Result(ConfigError::InvalidValue);
            },
            [&](const PutService &put) -> Result {
                const Service *existing = findService(put.service.id);
                if (!isValid(put.service)) {
                    return ConfigError::InvalidValue;
                }
                if (existing && existing->name != put.service.name) {
                    return ConfigError::IdTaken;
                }
                return existing && changesIdempotency(*existing, put.service) ? Result(ConfigError::IdempotencyFixed)
                                                                              : std::nullopt;
            },
            [&](const RemoveService &remove) -> Result {
                if (!findService(remove.service)) {
                    return ConfigError::UnknownService;
                }
                return isServiceUsed(remove.service) ? Result(ConfigError::StillUsed) : std::nullopt;
            },
            [&](const PutTarget &put) -> Result {
                const Target *existing = findTarget(put.target.id);
                if (!isValid(put.target)) {
                    return ConfigError::InvalidValue;
                }
                if (!findService(put.target.service)) {
                    return ConfigError::UnknownService;
                }
                if (!findZone(put.target.zone)) {
                    return ConfigError::UnknownZone;
                }
                return existing && existing->name != put.target.name ? Result(ConfigError::IdTaken) : std::nullopt;
            },
            [&](const SetTargetState &set) -> Result {
                return findTarget(set.target) ? std::nullopt : Result(ConfigError::UnknownTarget);
            },
            [&](const RemoveTarget &remove) -> Result {
                return findTarget(remove.target) ? std::nullopt : Result(ConfigError::UnknownTarget);
            },
        },
        edit);
}

bool Configuration::apply(const ConfigChange &change)
{
    if (change.revision.value != revision_.value + 1) {
        lastError_ = ConfigError::WrongRevision;
        return false;
    }
    lastError_ = check(change.edit);
    if (lastError_) {
        return false;
    }
    applyEdit(change.edit);
    revision_ = change.revision;
    lastChanges_.getOrInsert(objectKeyOf(change.edit)) = revision_;
    return true;
}

bool Configuration::skip(Revision revision)
{
    if (revision.value != revision_.value + 1) {
        lastError_ = ConfigError::WrongRevision;
        return false;
    }
    revision_ = revision;
    return true;
}

void Configuration::addToPool(const Target &target)
{
    std::vector<TargetId> &pool = pools_.getOrInsert(PoolId{ target.service, target.zone });
    pool.insert(std::lower_bound(pool.begin(), pool.end(), target.id), target.id);
}

void Configuration::removeFromPool(const Target &target)
{
    const PoolId pool{ target.service, target.zone };
    std::vector<TargetId> &targets = pools_.getOrInsert(pool);
    std::erase(targets, target.id);
    if (targets.empty()) {
        pools_.erase(pool);
    }
}

void Configuration::applyEdit(const ConfigEdit &edit)
{
    std::visit(
        Visitor{
            [&](const PutZone &put) { zones_[put.zone.id] = put.zone; },
            [&](const RemoveZone &remove) {
                zones_.erase(remove.zone);
                std::erase_if(links_,
                              [&](const Link &link) { return link.from == remove.zone || link.to == remove.zone; });
            },
            [&](const PutLink &put) {
                std::erase_if(links_, [&](const Link &link) { return connects(link, put.link.from, put.link.to); });
                links_.push_back(put.link);
            },
            [&](const PutService &put) { services_.getOrInsert(put.service.id) = put.service; },
            [&](const RemoveService &remove) { services_.erase(remove.service); },
            [&](const PutTarget &put) {
                if (const Target *existing = targets_.get(put.target.id)) {
                    removeFromPool(*existing);
                }
                targets_.getOrInsert(put.target.id) = put.target;
                addToPool(put.target);
            },
            [&](const SetTargetState &set) { targets_.getOrInsert(set.target).state = set.state; },
            [&](const RemoveTarget &remove) {
                removeFromPool(targets_.at(remove.target));
                targets_.erase(remove.target);
            },
        },
        edit);
}

ConfigurationBuilder &ConfigurationBuilder::revision(Revision revision)
{
    configuration_.revision_ = revision;
    return *this;
}

void ConfigurationBuilder::put(const ConfigEdit &edit)
{
    const std::optional<ConfigError> error = configuration_.check(edit);
    if (error) {
        lastError_ = lastError_ ? lastError_ : error;
        return;
    }
    configuration_.applyEdit(edit);
}

ConfigurationBuilder &ConfigurationBuilder::zone(std::string name)
{
    const ZoneId id = zoneIdOf(name);
    put(PutZone{ Zone{ id, std::move(name) } });
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::link(std::string_view from, std::string_view to, Microseconds delay,
                                                 double cost)
{
    put(PutLink{ Link{ zoneIdOf(from), zoneIdOf(to), delay, cost } });
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::service(std::string name, std::vector<Contract> contracts)
{
    const ServiceId id = serviceIdOf(name);
    put(PutService{ Service{ id, std::move(name), std::move(contracts) } });
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::target(Target target)
{
    target.id = targetIdOf(target.name);
    put(PutTarget{ std::move(target) });
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::edit(const ConfigEdit &edit)
{
    put(edit);
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::lastChange(std::uint64_t objectKey, Revision revision)
{
    configuration_.lastChanges_.getOrInsert(objectKey) = revision;
    return *this;
}

std::optional<Configuration> ConfigurationBuilder::build()
{
    if (lastError_) {
        return std::nullopt;
    }
    return std::move(configuration_);
}

} // namespace poplarroad
