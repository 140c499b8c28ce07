#ifndef POPLARROAD_TESTS_ROUTINGFIXTURE_H
#define POPLARROAD_TESTS_ROUTINGFIXTURE_H

#include "poplarroad/configuration.h"
#include "poplarroad/host.h"

#include <memory>
#include <string>
#include <vector>

namespace poplarroad::testing
{

inline const ServiceId LotsService = serviceIdOf("lots");
inline const KindId BidKind = kindIdOf("bid");
inline const KindId PhotoKind = kindIdOf("photo");
inline const KindId FeedKind = kindIdOf("feed");

inline Contract makeContract(const std::string &name, bool idempotent, Urgency urgency, Occupancy occupancy)
{
    Contract result;
    result.name = name;
    result.kind = kindIdOf(name);
    result.idempotent = idempotent;
    result.urgency = urgency;
    result.occupancy = occupancy;
    return result;
}

/** @return a configuration with zones "a", "b", ... that have targets[i] targets of 3 slots each */
inline ConfigurationPtr makeConfiguration(const std::vector<int> &targets)
{
    ConfigurationBuilder builder;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        builder.zone(std::string(1, static_cast<char>('a' + i)));
    }
    builder.service("lots",
                    { makeContract("bid", false, Urgency::Critical, Occupancy::Slot),
                      makeContract("photo", true, Urgency::Low, Occupancy::Slot),
                      makeContract("feed", true, Urgency::High, Occupancy::Connection) });
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const std::string zone(1, static_cast<char>('a' + i));
        for (int n = 0; n < targets[i]; ++n) {
            Target target;
            target.name = zone + std::to_string(n);
            target.id = targetIdOf(target.name);
            target.service = LotsService;
            target.zone = zoneIdOf(zone);
            target.address = { 0x7f000001, static_cast<std::uint16_t>(9000 + 100 * i + n) };
            target.slots = 3;
            builder.target(target);
        }
    }
    return std::make_shared<Configuration>(*builder.build());
}

inline HostAddress hostAddress(std::size_t zone, int number)
{
    return { 0x7f000001, static_cast<std::uint16_t>(7000 + 100 * zone + number) };
}

inline Incarnation incarnationOf(const HostAddress &host)
{
    return { host.key() + 1 };
}

/** @return the fleet view of host `number` in zone `zone`, where zone i has hosts[i] live hosts */
inline FleetView makeView(const std::vector<int> &hosts, std::size_t zone, int number)
{
    FleetView view;
    view.self = hostAddress(zone, number);
    view.incarnation = incarnationOf(view.self);
    view.joined = true;
    view.zone = zoneIdOf(std::string(1, static_cast<char>('a' + zone)));
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        ZoneSummary summary;
        summary.zone = zoneIdOf(std::string(1, static_cast<char>('a' + i)));
        summary.liveHosts = hosts[i];
        summary.reachable = true;
        for (int n = 0; n < hosts[i]; ++n) {
            if (i == zone) {
                view.hosts.push_back({ hostAddress(i, n), incarnationOf(hostAddress(i, n)), HostState::Alive });
            } else if (n < 2) {
                summary.gateways.push_back(hostAddress(i, n));
            }
        }
        if (i != zone) {
            view.otherZones.push_back(summary);
        }
    }
    return view;
}

} // namespace poplarroad::testing

#endif
