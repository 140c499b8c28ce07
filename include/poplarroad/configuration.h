#ifndef POPLARROAD_CONFIGURATION_H
#define POPLARROAD_CONFIGURATION_H

#include "poplarroad/id.h"
#include "poplarroad/link.h"
#include "poplarroad/service.h"
#include "poplarroad/shardedmap.h"
#include "poplarroad/target.h"
#include "poplarroad/zone.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace poplarroad
{

struct PutZone
{
    Zone zone;
    friend bool operator==(const PutZone &, const PutZone &) = default;
};
struct RemoveZone
{
    ZoneId zone;
    friend bool operator==(const RemoveZone &, const RemoveZone &) = default;
};
struct PutLink
{
    Link link;
    friend bool operator==(const PutLink &, const PutLink &) = default;
};
struct PutService
{
    Service service;
    friend bool operator==(const PutService &, const PutService &) = default;
};
struct RemoveService
{
    ServiceId service;
    friend bool operator==(const RemoveService &, const RemoveService &) = default;
};
struct PutTarget
{
    Target target;
    friend bool operator==(const PutTarget &, const PutTarget &) = default;
};
struct SetTargetState
{
    TargetId target;
    TargetState state = TargetState::Active;
    friend bool operator==(const SetTargetState &, const SetTargetState &) = default;
};
struct RemoveTarget
{
    TargetId target;
    friend bool operator==(const RemoveTarget &, const RemoveTarget &) = default;
};

/** One edit by an operator; it changes a single object. */
using ConfigEdit =
    std::variant<PutZone, RemoveZone, PutLink, PutService, RemoveService, PutTarget, SetTargetState, RemoveTarget>;

/** An accepted change: change number r leads from revision r - 1 to revision r. */
struct ConfigChange
{
    Revision revision;
    Revision basedOn; ///< revision that the operator had read
    std::string changeId; ///< chosen by the operator; a retry carries the same one
    ConfigEdit edit;

    friend bool operator==(const ConfigChange &, const ConfigChange &) = default;
};

/** Why an edit cannot be applied to a configuration. */
enum class ConfigError : std::uint8_t {
    IdTaken, ///< an object of another name already has the identifier, a hash of the name
    UnknownZone,
    UnknownService,
    UnknownTarget,
    StillUsed, ///< targets still refer to the zone or service
    InvalidValue,
    IdempotencyFixed, ///< an existing contract cannot change between idempotent and not
    WrongRevision, ///< the revision of the change is not the current revision + 1
};

template<>
struct EnumNames<ConfigError>
{
    static constexpr std::array table{
        EnumName<ConfigError>{ ConfigError::IdTaken, "id-taken" },
        EnumName<ConfigError>{ ConfigError::UnknownZone, "unknown-zone" },
        EnumName<ConfigError>{ ConfigError::UnknownService, "unknown-service" },
        EnumName<ConfigError>{ ConfigError::UnknownTarget, "unknown-target" },
        EnumName<ConfigError>{ ConfigError::StillUsed, "still-used" },
        EnumName<ConfigError>{ ConfigError::InvalidValue, "invalid-value" },
        EnumName<ConfigError>{ ConfigError::IdempotencyFixed, "idempotency-fixed" },
        EnumName<ConfigError>{ ConfigError::WrongRevision, "wrong-revision" },
    };
};

/**
 * The declared services, targets, zones and links at one revision.
 *
 * Copies share all unmodified data (copy-on-write), so copying and changing one object is cheap at any size.
 */
class Configuration
{
public:
    Revision revision() const
    {
        return revision_;
    }
    const Zone *findZone(ZoneId id) const;
    const Service *findService(ServiceId id) const;
    const Target *findTarget(TargetId id) const;
    const Link *findLink(ZoneId a, ZoneId b) const;
    /** @return the targets of a pool, ordered by identifier; empty for an unknown pool */
    const std::vector<TargetId> &targetsOf(const PoolId &pool) const;
    /** @return every pool with at least one target */
    std::vector<PoolId> pools() const;
    /** @return the zones in which the service has targets, ordered by identifier */
    std::vector<ZoneId> zonesOf(ServiceId service) const;
    /** @return total slots of the pool's active targets, the capacity that routing uses */
    std::uint32_t slotsOf(const PoolId &pool) const;

    const absl::flat_hash_map<ZoneId, Zone> &zones() const
    {
        return zones_;
    }
    const ShardedMap<ServiceId, Service> &services() const
    {
        return services_;
    }
    const ShardedMap<TargetId, Target> &targets() const
    {
        return targets_;
    }
    const std::vector<Link> &links() const
    {
        return links_;
    }

    /** @return the revision of the last change to each object, by objectKeyOf(), for snapshots */
    const ShardedMap<std::uint64_t, Revision> &lastChanges() const
    {
        return lastChanges_;
    }
    /** @return the revision of the last change to the object of the edit; 0 when it never changed */
    Revision lastChangeOf(const ConfigEdit &edit) const;

    /**
     * Applies the change after the current revision.
     *
     * @param change the change with revision() + 1
     * @return whether it was applied; lastError() has the reason when not
     */
    bool apply(const ConfigChange &change);
    /**
     * Advances to the revision of a change whose edit is invalid, without applying the edit.
     *
     * @param revision revision() + 1
     * @return whether it is the revision after the current one
     */
    bool skip(Revision revision);
    /**
     * Checks an edit without applying it.
     *
     * @param edit an edit by an operator
     * @return the reason why it cannot be applied, or nothing when it can
     */
    std::optional<ConfigError> check(const ConfigEdit &edit) const;
    /** @return why the last failed apply() was refused */
    std::optional<ConfigError> lastError() const
    {
        return lastError_;
    }

private:
    friend class ConfigurationBuilder;
    void applyEdit(const ConfigEdit &edit);
    void addToPool(const Target &target);
    void removeFromPool(const Target &target);

    Revision revision_;
    absl::flat_hash_map<ZoneId, Zone> zones_;
    std::vector<Link> links_;
    ShardedMap<ServiceId, Service> services_;
    ShardedMap<TargetId, Target> targets_;
    ShardedMap<PoolId, std::vector<TargetId>> pools_;
    ShardedMap<std::uint64_t, Revision> lastChanges_; ///< by objectKeyOf()
    std::optional<ConfigError> lastError_;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/** Builds a configuration from declared objects, for snapshots and tests. */
class ConfigurationBuilder
{
public:
    ConfigurationBuilder &revision(Revision revision);
    ConfigurationBuilder &zone(std::string name);
    ConfigurationBuilder &link(std::string_view from, std::string_view to, Microseconds delay, double cost);
    ConfigurationBuilder &service(std::string name, std::vector<Contract> contracts);
    ConfigurationBuilder &target(Target target);
    /** Applies an edit that adds or replaces an object; build() fails when it cannot be applied. */
    ConfigurationBuilder &edit(const ConfigEdit &edit);
    /** Sets the revision of the last change to an object, as a snapshot has it. */
    ConfigurationBuilder &lastChange(std::uint64_t objectKey, Revision revision);
    /** @return the configuration, or nothing; lastError() has the reason */
    std::optional<Configuration> build();
    std::optional<ConfigError> lastError() const
    {
        return lastError_;
    }

private:
    void put(const ConfigEdit &edit);

    Configuration configuration_;
    std::optional<ConfigError> lastError_;
};

/** @return the key of the object that an edit changes; unique over zones, links, services and targets */
std::uint64_t objectKeyOf(const ConfigEdit &edit);

} // namespace poplarroad

#endif
