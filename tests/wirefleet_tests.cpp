#include "link/wire.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace poplarroad;

namespace
{

WireCodec codec()
{
    return WireCodec(TokenCodec(KeyRing({ Key{} })));
}

FleetMessage roundTrip(const FleetMessage &message)
{
    WireCodec reader = codec();
    auto decoded = reader.decodeFleetMessage(encodeFleetMessage(message));
    REQUIRE(decoded);
    return std::move(*decoded);
}

ServiceMapPtr makeRoutes(std::uint16_t count)
{
    auto map = std::make_shared<ServiceMap>();
    map->version = 9;
    for (std::uint16_t port = 0; port < count; ++port) {
        const HostAddress address{ 0xc6120001, port };
        map->routes[address] = { address,
                                 { { serviceIdOf("a"), 90 }, { serviceIdOf("b"), 10 } },
                                 port % 2 == 0 ? RequestKind::Download : RequestKind::NonIdempotent,
                                 Urgency::High,
                                 Milliseconds(1500),
                                 Milliseconds(250) };
    }
    map->warmups[serviceIdOf("a")] = { 2.5 };
    map->warmups[serviceIdOf("b")] = { 0.0 };
    return map;
}

TargetChange makeTargetChange(std::uint64_t id, ListingState listing)
{
    TargetChange change;
    change.revision = Revision{ 100 + id };
    change.listing = listing;
    change.target.instance = 1'700'000'000'000;
    change.target.warmup = Milliseconds(1500);
    change.target.target.id = TargetId{ id };
    change.target.target.name = "i-" + std::to_string(id);
    change.target.target.service = serviceIdOf("a");
    change.target.target.zone = zoneIdOf("z");
    change.target.target.address = { 0x0a000001, 8080 };
    change.target.target.slots = 3;
    change.target.target.number = 0xab46c8a70f + id;
    change.target.target.state = TargetState::Draining;
    return change;
}

} // namespace

TEST_CASE("a directory beacon is decoded to what was encoded")
{
    const DirectoryBeacon beacon{ { 0x0a000001, 7000 },
                                  500,
                                  12,
                                  Revision{ 99 },
                                  1234,
                                  true,
                                  77,
                                  5678,
                                  { Revision{ 98 }, { ZoneId{ 3 }, ZoneId{ 9 } } } };
    CHECK(std::get<DirectoryBeacon>(roundTrip(beacon)) == beacon);
}

TEST_CASE("a directory request and a zone introduction are decoded to what was encoded")
{
    const DirectoryRequest request{ 7, Revision{ 8 }, false, true };
    CHECK(std::get<DirectoryRequest>(roundTrip(request)) == request);
    const ZoneIntroduction introduction{ { { 0x0a000001, 7000 }, { 0x0a000002, 7000 } } };
    CHECK(std::get<ZoneIntroduction>(roundTrip(introduction)) == introduction);
}

TEST_CASE("directory content keeps every route and target")
{
    const DirectoryContent content{ makeRoutes(300),
                                    Revision{ 50 },
                                    { Revision{ 60 },
                                      true,
                                      { makeTargetChange(1, ListingState::Present),
                                        makeTargetChange(2, ListingState::Expired),
                                        makeTargetChange(3, ListingState::Gone) } },
                                    { Revision{ 55 }, { ZoneId{ 4 } } } };
    const auto decoded = std::get<DirectoryContent>(roundTrip(content));
    REQUIRE(decoded.services);
    CHECK(*decoded.services == *content.services);
    CHECK(decoded.targetsAfter == content.targetsAfter);
    CHECK(decoded.targets == content.targets);
    CHECK(decoded.evacuations == content.evacuations);
}

TEST_CASE("directory content without services is decoded without services")
{
    const DirectoryContent content{ nullptr, Revision{ 50 }, { Revision{ 60 }, false, {} } };
    CHECK_FALSE(std::get<DirectoryContent>(roundTrip(content)).services);
}

TEST_CASE("1000 routes that differ only in their addresses take less than 10 bytes each")
{
    const DirectoryContent content{ makeRoutes(1000), {}, {} };
    CHECK(encodeFleetMessage(content).size() < 10'000);
}

TEST_CASE("a load report is decoded to what was encoded")
{
    const LoadReport report{ { { TargetId{ 7 }, 20, 3, 1, 450, 12, 340, 5 }, { TargetId{ 8 }, 1, 0, 0, 0, 0, 0, 0 } } };
    CHECK(std::get<LoadReport>(roundTrip(report)) == report);
}

TEST_CASE("a message that is no fleet message is refused by the fleet decoder as an unexpected kind")
{
    WireCodec reader = codec();
    CHECK_FALSE(reader.decodeFleetMessage(encodePeerDatagram(Ping{})));
    CHECK(reader.lastError() == WireError::UnexpectedKind);
}

TEST_CASE("corrupted fleet messages are refused with a reason or decoded, and truncated ones are refused")
{
    CHECK(rc::check("one byte changed", [](std::uint16_t position, std::uint8_t value) {
        const DirectoryContent content{ makeRoutes(5),
                                        Revision{ 1 },
                                        { Revision{ 2 }, true, { makeTargetChange(1, ListingState::Present) } } };
        std::string bytes = encodeFleetMessage(content);
        bytes[position % bytes.size()] = static_cast<char>(value);
        WireCodec reader = codec();
        const auto decoded = reader.decodeFleetMessage(bytes);
        RC_ASSERT(decoded.has_value() != reader.lastError().has_value());
    }));
    CHECK(rc::check("truncated", [](std::uint16_t length) {
        const std::string bytes = encodeFleetMessage(DirectoryContent{ makeRoutes(5), {}, {} });
        WireCodec reader = codec();
        RC_ASSERT(!reader.decodeFleetMessage(std::string_view(bytes).substr(0, length % bytes.size())));
    }));
}
