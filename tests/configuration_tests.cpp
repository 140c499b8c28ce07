#include "poplarroad/configuration.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

Contract contractNamed(const std::string &name)
{
    Contract contract;
    contract.name = name;
    contract.kind = kindIdOf(name);
    return contract;
}

Target targetNamed(const std::string &name)
{
    Target target;
    target.name = name;
    target.id = targetIdOf(name);
    target.service = serviceIdOf("photos");
    target.zone = zoneIdOf("a");
    target.address = { 0x7f000001, 9000 };
    target.slots = 3;
    return target;
}

Configuration smallConfiguration()
{
    ConfigurationBuilder builder;
    builder.zone("a").zone("b").service("photos", { contractNamed("photo") }).target(targetNamed("t1"));
    return *builder.build();
}

} // namespace

TEST_CASE("a change applies only to the revision right before it, so the revision never decreases")
{
    Configuration configuration = smallConfiguration();
    const ConfigEdit drain = SetTargetState{ targetIdOf("t1"), TargetState::Draining };
    REQUIRE(configuration.apply({ Revision{ 1 }, Revision{ 0 }, "c1", drain }));
    CHECK_FALSE(configuration.apply({ Revision{ 1 }, Revision{ 0 }, "c1", drain }));
    CHECK(configuration.lastError() == ConfigError::WrongRevision);
    CHECK_FALSE(configuration.apply({ Revision{ 3 }, Revision{ 0 }, "c3", drain }));
    CHECK(configuration.revision() == Revision{ 1 });
    CHECK(configuration.lastChangeOf(drain) == Revision{ 1 });
}

TEST_CASE("pools follow the targets, so no request is routed to a removed target")
{
    Configuration configuration = smallConfiguration();
    const PoolId pool{ serviceIdOf("photos"), zoneIdOf("a") };
    CHECK(configuration.slotsOf(pool) == 3);
    REQUIRE(configuration.apply(
        { Revision{ 1 }, Revision{ 0 }, "c1", SetTargetState{ targetIdOf("t1"), TargetState::Draining } }));
    CHECK(configuration.slotsOf(pool) == 0);
    Target moved = targetNamed("t1");
    moved.zone = zoneIdOf("b");
    REQUIRE(configuration.apply({ Revision{ 2 }, Revision{ 0 }, "c2", PutTarget{ moved } }));
    CHECK(configuration.targetsOf(pool).empty());
    REQUIRE(configuration.apply({ Revision{ 3 }, Revision{ 0 }, "c3", RemoveTarget{ targetIdOf("t1") } }));
    CHECK(configuration.pools().empty());
}

TEST_CASE("an edit that would leave a dangling reference is rejected")
{
    const Configuration configuration = smallConfiguration();
    CHECK(configuration.check(RemoveZone{ zoneIdOf("a") }) == ConfigError::StillUsed);
    CHECK(configuration.check(RemoveService{ serviceIdOf("photos") }) == ConfigError::StillUsed);
    CHECK(configuration.check(RemoveTarget{ targetIdOf("t2") }) == ConfigError::UnknownTarget);
    Target stray = targetNamed("t2");
    stray.zone = zoneIdOf("nowhere");
    CHECK(configuration.check(PutTarget{ stray }) == ConfigError::UnknownZone);
}

TEST_CASE("idempotency of a contract cannot change, so all balancers decide alike on retries")
{
    const Configuration configuration = smallConfiguration();
    Service service = *configuration.findService(serviceIdOf("photos"));
    service.contracts.front().idempotent = false;
    CHECK(configuration.check(PutService{ service }) == ConfigError::IdempotencyFixed);
}

TEST_CASE("a malformed host address is rejected")
{
    CHECK(parseHostAddress("127.0.0.1:80") == HostAddress{ 0x7f000001, 80 });
    CHECK(toString(HostAddress{ 0x7f000001, 80 }) == "127.0.0.1:80");
    for (const char *text :
         { "", "127.0.0.1", "127.0.0.256:1", "127.0.1:5", "127.0.0.1.2:5", "127.0.0.1:65536", "a.b.c.d:1" }) {
        CHECK_FALSE(parseHostAddress(text));
    }
}
