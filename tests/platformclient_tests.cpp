#include "../standins/platformserver.h"
#include "link/configjson.h"
#include "link/configstore.h"
#include "link/platformclient.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

/** A client and the platform stand-in on one event loop. */
class TestPlatform
{
public:
    TestPlatform()
        : server(loop, 0)
        , client(loop, HostAddress{ 0x7f000001, server.port() }, { Milliseconds(200), Milliseconds(300) })
        , timeout_(loop, [this] { loop.stop(); })
    {
    }

    /** @return the result of a call, or nothing if it did not finish within 2 s */
    template<typename Result, typename Call>
    std::optional<Result> wait(Call call)
    {
        std::optional<Result> result;
        call([&](Result value) {
            result = std::move(value);
            loop.stop();
        });
        timeout_.armAfter(Milliseconds(2000));
        loop.run();
        return result;
    }
    StoreWriteResult create(const std::string &key, const std::string &value)
    {
        return *wait<StoreWriteResult>([&](auto done) { client.create(key, value, done); });
    }
    StoreReadResult get(const std::string &key)
    {
        return *wait<StoreReadResult>([&](auto done) { client.get(key, done); });
    }

    EventLoop loop;
    PlatformServer server;
    PlatformClient client;

private:
    LoopTimer timeout_;
};

Configuration largeConfiguration(std::size_t targets)
{
    ConfigurationBuilder builder;
    builder.zone("a").zone("b").link("a", "b", Microseconds(4000), 2.0).service("photos", {}).revision(Revision{ 500 });
    for (std::size_t i = 0; i < targets; ++i) {
        Target target;
        target.name = "target" + std::to_string(i);
        target.service = serviceIdOf("photos");
        target.zone = zoneIdOf("a");
        target.address = { 0x7f000001, 9000 };
        builder.target(target);
    }
    builder.lastChange(7, Revision{ 3 });
    return *builder.build();
}

} // namespace

TEST_CASE("a second create and a put of an old version fail, so that no write is overwritten unnoticed")
{
    TestPlatform platform;
    const StoreWriteResult first = platform.create("k/1", "1");
    REQUIRE_FALSE(first.error);
    CHECK(platform.create("k/1", "2").error == StoreError::Exists);
    const auto put = [&](StoreVersion version) {
        return *platform.wait<StoreWriteResult>([&](auto done) { platform.client.put("k/1", "3", version, done); });
    };
    CHECK_FALSE(put(first.version).error);
    CHECK(put(first.version).error == StoreError::VersionChanged);
    CHECK(platform.get("k/1").value == "3");
    CHECK(platform.get("k/2").error == StoreError::NotFound);
}

TEST_CASE("a write whose response is lost is distinguished from one that was never sent")
{
    TestPlatform platform;
    platform.server.loseAnswers = 1;
    const StoreWriteResult lost = platform.create("k", "1");
    REQUIRE(lost.error == StoreError::AnswerLost);
    CHECK(writeEffectOf(*lost.error) == WriteEffect::MayBeApplied);
    CHECK(platform.get("k").value == "1");
    platform.server.delayMs = 500;
    CHECK(platform.create("late", "1").error == StoreError::AnswerLost);
    platform.server.delayMs = 0;
    platform.server.busy = true;
    CHECK(platform.create("b", "1").error == StoreError::Busy);
    CHECK_FALSE(platform.client.isReachable());

    PlatformClient noServer(platform.loop, HostAddress{ 0x7f000001, 1 });
    const auto refused = platform.wait<StoreWriteResult>([&](auto done) { noServer.create("k", "1", done); });
    REQUIRE(refused);
    CHECK(refused->error == StoreError::Unreachable);
    CHECK(writeEffectOf(*refused->error) == WriteEffect::NotApplied);
}

TEST_CASE("a watch responds at the next change, so that a gateway needs no polling")
{
    TestPlatform platform;
    const StoreVersion known = platform.create("config/change/1", "1").version;
    LoopTimer writer(platform.loop,
                     [&] { platform.client.create("config/change/2", "2", [](const StoreWriteResult &) {}); });
    writer.armAfter(Milliseconds(50));
    const auto changed =
        platform.wait<StoreListResult>([&](auto done) { platform.client.watch("config/change/", known, done); });
    REQUIRE(changed);
    CHECK(changed->keys == std::vector<std::string>{ "config/change/2" });
    const auto unchanged = platform.wait<StoreListResult>(
        [&](auto done) { platform.client.watch("config/change/", changed->version, done); });
    REQUIRE(unchanged);
    CHECK_FALSE(unchanged->error);
    CHECK(unchanged->keys.empty());
}

TEST_CASE("a malformed list of hosts is reported as an error and not as an empty list")
{
    TestPlatform platform;
    platform.server.hosts = { { "live", { "127.0.0.1:7000" } }, { "leaving", { "127.0.0.1:7001" } } };
    const auto read = [&] {
        return *platform.wait<PlatformHostList>([&](auto done) { platform.client.readHosts(done); });
    };
    CHECK(read().live == std::vector<HostAddress>{ { 0x7f000001, 7000 } });
    CHECK(read().leaving == std::vector<HostAddress>{ { 0x7f000001, 7001 } });
    platform.server.hosts = { { "live", { "nonsense" } }, { "leaving", nlohmann::json::array() } };
    CHECK(read().error == StoreError::Malformed);
}

TEST_CASE("a snapshot of several chunks is loaded unchanged, and writing it removes old changes")
{
    TestPlatform platform;
    ConfigStore store(platform.client);
    const auto waitForWrites = [&] { platform.wait<StoreReadResult>([](auto) {}); };
    const auto configuration = std::make_shared<const Configuration>(largeConfiguration(8000));
    REQUIRE(encodeConfiguration(*configuration, ConfigStore::MaxChunkBytes).size() > 1);
    platform.server.objects["config/manifest"] = { R"({"revision":300,"chunks":1,"floor":0})", 1 };
    platform.create("config/change/300", "1");
    platform.create("config/change/301", "1");
    store.writeSnapshot(configuration);
    waitForWrites();
    const auto loaded = platform.wait<ConfigurationPtr>([&](auto done) { store.loadSnapshot(done); });
    REQUIRE(loaded);
    REQUIRE(*loaded);
    CHECK(encodeConfiguration(**loaded, 1000) == encodeConfiguration(*configuration, 1000));
    CHECK((*loaded)->revision() == Revision{ 500 });
    CHECK(platform.get("config/change/300").error == StoreError::NotFound);
    CHECK_FALSE(platform.get("config/change/301").error);
    const auto floor = platform.wait<std::optional<Revision>>([&](auto done) { store.readFloor(done); });
    CHECK(floor == std::optional(std::optional(Revision{ 300 })));
}

TEST_CASE("every kind of edit is decoded as it was encoded, and truncated or unknown input is rejected")
{
    Target target = *largeConfiguration(1).findTarget(targetIdOf("target0"));
    Contract contract;
    contract.name = "photo";
    contract.kind = kindIdOf("photo");
    const std::vector<ConfigEdit> edits{
        PutZone{ Zone{ zoneIdOf("a"), "a" } },
        RemoveZone{ zoneIdOf("a") },
        PutLink{ Link{ zoneIdOf("a"), zoneIdOf("b"), Microseconds(5), 1.5 } },
        PutService{ Service{ serviceIdOf("s"), "s", { contract } } },
        RemoveService{ serviceIdOf("s") },
        PutTarget{ target },
        SetTargetState{ target.id, TargetState::Draining },
        RemoveTarget{ target.id },
    };
    for (const ConfigEdit &edit : edits) {
        const ConfigChange change{ Revision{ 5 }, Revision{ 4 }, "c", edit };
        const std::string text = encodeChange(change);
        CHECK(decodeChange(text) == change);
        for (std::size_t length = 0; length < text.size(); ++length) {
            CHECK_FALSE(decodeChange(text.substr(0, length)));
        }
    }
    CHECK_FALSE(decodeChange(R"({"revision":1,"basedOn":0,"changeId":"c","edit":{"dropAll":1}})"));
}
