// The platform's directory over the emulated store, with real sockets.

#include "emulator/oddentries.h"
#include "emulator/store.h"
#include "platform/storedirectory.h"

#include <catch2/catch.hpp>

#include <unistd.h>

using namespace poplarroad;
using namespace poplarroad::platform;
using namespace poplarroad::platform::emulator;

namespace
{

constexpr std::size_t pageSize = 20;

std::string specOf(std::size_t number)
{
    return R"({"service":"s","address":"10.0.0.1:)" + std::to_string(8000 + number)
        + R"(","zone":"a","maxConcurrency":3,"state":"ready"})";
}

std::string entryName(std::size_t number)
{
    const std::string digits = std::to_string(1000 + number);
    return "i-" + digits;
}

/** A directory and the emulated store that it reads, on one event loop. */
struct TestStore
{
    TestStore()
        : contents(pageSize)
        , delays(loop)
        , server(loop, delays, contents, loopbackAddress())
        , directory(loop, server.addListener())
        , timeout(loop, [this] { loop.stop(); })
    {
    }

    static std::uint32_t loopbackAddress()
    {
        constexpr std::uint32_t loopback = 127U << 24U;
        return loopback | (78U << 16U) | (static_cast<std::uint32_t>(getpid()) & 0xffffU);
    }
    DirectoryResult read(DirectoryPart part, ReadFreshness freshness = ReadFreshness::Current)
    {
        std::optional<DirectoryResult> result;
        directory.read(part, freshness, [&](DirectoryResult answer) {
            result = std::move(answer);
            loop.stop();
        });
        timeout.armAfter(Milliseconds(3000));
        loop.run();
        REQUIRE(result);
        return std::move(*result);
    }

    /** Lets the loop run for a moment. */
    void idle()
    {
        timeout.armAfter(Milliseconds(10));
        loop.run();
    }

    EventLoop loop;
    StoreContents contents;
    DelayQueue delays;
    StoreServer server;
    StoreDirectory directory;
    LoopTimer timeout;
};

} // namespace

TEST_CASE("a list of many pages is read completely, over one connection")
{
    TestStore store;
    for (std::size_t i = 0; i < 205; ++i) {
        store.contents.put("servers", entryName(i), specOf(i));
    }
    const DirectoryResult result = store.read(DirectoryPart::Targets);
    CHECK_FALSE(result.error);
    CHECK(result.complete);
    CHECK(result.targets.size() == 205);
    CHECK(store.server.calls() == 11);
    CHECK(store.server.connections() == 1);
    store.idle();
    CHECK(store.read(DirectoryPart::Targets).targets.size() == 205);
    CHECK(store.server.connections() == 2);
}

TEST_CASE("a page of odd entries hides none of the pages after it")
{
    TestStore store;
    for (std::size_t i = 0; i < 60; ++i) {
        const bool odd = i >= 20 && i < 40;
        store.contents.put("servers", entryName(i), odd ? oddSpec(i) : specOf(i));
    }
    const DirectoryResult result = store.read(DirectoryPart::Targets);
    CHECK_FALSE(result.error);
    CHECK(result.complete);
    CHECK(result.targets.size() == 40);
    CHECK(result.refused.size() == 20);
}

// Guards against lists that end at a page of another program's entries, which left balancers without targets.
TEST_CASE("a page of entries with long names hides none of the targets after it")
{
    for (const std::size_t length : { 129U, 156U, 1023U, 1024U, 1025U, 5000U, 200'000U }) {
        CAPTURE(length);
        TestStore store;
        for (std::size_t i = 0; i < 2 * pageSize; ++i) {
            store.contents.put("servers", std::string(length - 2, 'e') + std::to_string(10 + i), std::string("{}"));
            store.contents.put("servers", entryName(i), specOf(i));
        }
        const DirectoryResult result = store.read(DirectoryPart::Targets);
        CHECK_FALSE(result.error);
        CHECK(result.complete);
        CHECK(result.targets.size() == 2 * pageSize);
    }
}

TEST_CASE("a page of entries whose long names need escapes or several bytes a character hides no target")
{
    for (const std::string &character : { std::string("\""), std::string("\xc3\xa4"), std::string("\xf0\x9f\x8c\xb2"),
                                          std::string("\\u"), std::string("\n"), std::string(1, '\x7f') }) {
        CAPTURE(character);
        TestStore store;
        std::string name = "a";
        while (name.size() < 1500) {
            name += character;
        }
        for (std::size_t i = 0; i < pageSize; ++i) {
            store.contents.put("servers", name.substr(0, 1 + character.size() * (200 + i)), std::string("{}"));
            store.contents.put("servers", entryName(i), specOf(i));
        }
        const DirectoryResult result = store.read(DirectoryPart::Targets);
        CHECK(result.complete);
        CHECK(result.targets.size() == pageSize);
    }
}

TEST_CASE("an entry as large as a page hides none of the targets after it")
{
    TestStore store;
    constexpr std::size_t rowBytes = 1'048'000;
    const std::string rows(rowBytes, 'x');
    store.contents.put("servers", "export-" + std::string(149, 'x'), R"({"rows":")" + rows + R"("})");
    for (std::size_t i = 0; i < 30; ++i) {
        store.contents.put("servers", entryName(i), specOf(i));
    }
    const DirectoryResult result = store.read(DirectoryPart::Targets);
    CHECK(result.complete);
    CHECK(result.targets.size() == 30);
}

TEST_CASE("objects with long names hide neither the services nor are they read beyond them")
{
    TestStore store;
    for (std::size_t i = 0; i < 3 * pageSize; ++i) {
        store.contents.put("config", (i < pageSize ? "archive-" : "z") + std::string(200, 'x') + std::to_string(i),
                           std::string("{}"));
    }
    store.contents.put("config", "main", std::string(R"({"version":3,"routes":[]})"));
    const DirectoryResult result = store.read(DirectoryPart::Services);
    REQUIRE(result.services);
    CHECK(result.services->version == 3);
    CHECK(result.complete);
    CHECK(store.server.calls() == 2);
}

TEST_CASE("a name with reserved characters at the end of a page is encoded in the next call")
{
    TestStore store;
    for (std::size_t i = 0; i < 30; ++i) {
        store.contents.put("servers", entryName(i), specOf(i));
    }
    store.contents.put("servers", entryName(18) + "&after=x#+%", std::string("null"));
    const DirectoryResult result = store.read(DirectoryPart::Targets);
    CHECK(result.complete);
    CHECK(result.targets.size() == 30);
    CHECK(result.refused.size() == 1);
}

TEST_CASE("a store that closes its connections in the middle of a list gives an error, and the next read succeeds")
{
    TestStore store;
    for (std::size_t i = 0; i < 60; ++i) {
        store.contents.put("servers", entryName(i), specOf(i));
    }
    store.server.setFault(std::nullopt, StoreFault::AnswersLost);
    CHECK(store.read(DirectoryPart::Targets).error == StoreError::AnswerLost);
    store.server.setFault(std::nullopt, StoreFault::None);
    CHECK(store.read(DirectoryPart::Targets).targets.size() == 60);
}

// Guards against a list that claims changes which one of its pages lacks: a watch from the revision of the first page
// never brings them, so that a draining target stayed in use and a new one was unknown.
TEST_CASE("a list has the revision of its oldest page, wherever that page stands")
{
    TestStore store;
    for (std::size_t i = 0; i < 3 * pageSize; ++i) {
        store.contents.put("servers", entryName(i), specOf(i));
    }
    const std::uint64_t before = store.contents.revision();
    store.contents.put("servers", entryName(pageSize + 1), specOf(0));
    const std::uint64_t between = store.contents.revision();
    store.contents.erase("servers", entryName(2 * pageSize + 1));
    const std::uint64_t last = store.contents.revision();
    const std::vector<std::deque<std::uint64_t>> orders{ { last, before, between },
                                                         { before, between, last },
                                                         { last, between, before } };
    for (const std::deque<std::uint64_t> &pages : orders) {
        store.server.setNextStaleRevisions(pages);
        const DirectoryResult result = store.read(DirectoryPart::Targets, ReadFreshness::MayBeStale);
        CHECK(result.complete);
        CHECK(result.revision.value == before);
        REQUIRE(result.segments.size() == pages.size());
        for (std::size_t page = 0; page < pages.size(); ++page) {
            CHECK(result.segments[page].revision.value == pages[page]);
        }
        CHECK(result.segments.front().lastName == entryName(pageSize - 1));
    }
}

TEST_CASE("the emulated store answers reads that may be stale as of an earlier revision")
{
    TestStore store;
    store.contents.put("servers", entryName(0), specOf(0));
    const std::uint64_t first = store.contents.revision();
    store.contents.put("servers", entryName(1), specOf(1));
    store.contents.erase("servers", entryName(0));
    const auto listed = [&](std::uint64_t revision) {
        store.server.setNextStaleRevisions({ revision });
        const DirectoryResult result = store.read(DirectoryPart::Targets, ReadFreshness::MayBeStale);
        CHECK(result.revision.value == revision);
        std::vector<std::string> names;
        for (const TargetChange &change : result.targets) {
            names.push_back(change.target.target.name);
        }
        return names;
    };
    CHECK(listed(first - 1).empty());
    CHECK(listed(first) == std::vector{ entryName(0) });
    CHECK(listed(first + 1) == std::vector{ entryName(0), entryName(1) });
    CHECK(listed(first + 2) == std::vector{ entryName(1) });
}
