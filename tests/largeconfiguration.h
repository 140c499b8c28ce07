#ifndef POPLARROAD_TESTS_LARGECONFIGURATION_H
#define POPLARROAD_TESTS_LARGECONFIGURATION_H

#include "poplarroad/configuration.h"

#include <string>

namespace poplarroad
{

inline Target makeTarget(std::size_t number, std::size_t services, std::size_t zones)
{
    Target target;
    target.name = "target" + std::to_string(number);
    target.id = targetIdOf(target.name);
    target.service = serviceIdOf("service" + std::to_string(number % services));
    target.zone = zoneIdOf("zone" + std::to_string(number / services % zones));
    target.address = { 0x7f000001, 9000 };
    target.slots = 3;
    return target;
}

/** @return a configuration with targets in 25 zones, about 9 for each service as at the design scale */
inline Configuration largeConfiguration(std::size_t targets)
{
    constexpr std::size_t zones = 25;
    const std::size_t services = targets / 9 + 1;
    ConfigurationBuilder builder;
    for (std::size_t i = 0; i < zones; ++i) {
        builder.zone("zone" + std::to_string(i));
    }
    Contract contract;
    contract.name = "bid";
    contract.kind = kindIdOf("bid");
    for (std::size_t i = 0; i < services; ++i) {
        builder.service("service" + std::to_string(i), { contract });
    }
    for (std::size_t i = 0; i < targets; ++i) {
        const Target target = makeTarget(i, services, zones);
        builder.target(target).lastChange(objectKeyOf(PutTarget{ target }), Revision{ 1 });
    }
    return *builder.revision(Revision{ 1 }).build();
}

/** @return a change that activates a target, or drains it if the revision is even */
inline ConfigChange makeStateChange(std::uint64_t revision, std::size_t targets)
{
    const TargetId target = targetIdOf("target" + std::to_string(revision * 7919 % targets));
    const TargetState state = revision % 2 == 0 ? TargetState::Draining : TargetState::Active;
    return { Revision{ revision }, Revision{ revision - 1 }, "change-" + std::to_string(revision),
             SetTargetState{ target, state } };
}

} // namespace poplarroad

#endif
