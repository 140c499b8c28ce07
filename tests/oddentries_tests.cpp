// Entries that another program left among those of the store: each object is used or refused by itself, whatever its
// neighbours hold.

#include "corpus.h"
#include "emulator/oddentries.h"
#include "host/periodicreports.h"
#include "link/jsonslices.h"
#include "platform/storeobjects.h"
#include "service/targetreplica.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <new>

#if defined(__SANITIZE_ADDRESS__)
// The compiler's headers lack this function of its runtime library.
extern "C" int __sanitizer_install_malloc_and_free_hooks(void (*onMalloc)(const volatile void *, std::size_t),
                                                         void (*onFree)(const volatile void *));
#endif

using namespace poplarroad;
using namespace poplarroad::platform;
using poplarroad::platform::emulator::oddSpec;
using poplarroad::platform::emulator::OddSpecs;
using poplarroad::test::loadCorpus;

namespace
{

std::size_t allocatedBytes = 0;

constexpr TimePoint start{ std::chrono::seconds(1000) };
constexpr std::string_view ValidSpec =
    R"({"service":"s","address":"10.0.0.2:80","zone":"a","maxConcurrency":3,"state":"ready"})";

std::string objectOf(std::string_view name, std::string_view spec)
{
    return R"({"meta":{"name":")" + std::string(name) + R"(","revision":3},"spec":)" + std::string(spec) + "}";
}

std::string listOf(const std::vector<std::string> &objects)
{
    std::string items;
    for (const std::string &object : objects) {
        items += (items.empty() ? "" : ",") + object;
    }
    return R"({"items":[)" + items + R"(],"truncated":false,"currentRev":9})";
}

std::string eventsOf(const std::vector<std::string> &objects)
{
    std::string events;
    for (const std::string &object : objects) {
        events += (events.empty() ? "" : ",") + (R"({"deleted":false,"object":)" + object + "}");
    }
    return R"({"events":[)" + events + R"(],"currentRev":9})";
}

std::string stateWith(const std::vector<std::string> &routes)
{
    std::string text;
    for (const std::string &route : routes) {
        text += (text.empty() ? "" : ",") + route;
    }
    return R"({"version":5,"limits":{"idleTimeoutMs":9000},"routes":[)" + text + "]}";
}

std::string routeOf(std::string_view address, std::string_view more)
{
    return R"({"hostname":")" + std::string(address) + R"(","pathPrefix":"/443/")" + std::string(more) + "}";
}

HostAddress routeAddress(std::uint8_t last)
{
    return { 0xc6120000U | last, 443 };
}

ListedTarget listedTarget(std::uint64_t id)
{
    ListedTarget listed;
    listed.target.id = TargetId{ id };
    return listed;
}

} // namespace

// Counts what decoding allocates, since a machine with 80 MB must survive any single entry.
#if defined(__SANITIZE_ADDRESS__)
// AddressSanitizer has its own operator new, which must not be replaced in a part of the program only.
namespace
{

const int installedHooks = __sanitizer_install_malloc_and_free_hooks(
    [](const volatile void * /*memory*/, std::size_t size) { allocatedBytes += size; },
    [](const volatile void * /*memory*/) {});

} // namespace
#else
void *operator new(std::size_t size)
{
    allocatedBytes += size;
    if (void *const memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}
#endif

TEST_CASE("an odd object of the corpus hides no other object of a list or of events, wherever it stands")
{
    const auto inputs = loadCorpus("store-objects");
    REQUIRE(inputs.size() >= 20);
    const std::string first = objectOf("i-1", ValidSpec);
    const std::string second = objectOf("i-2", ValidSpec);
    for (const auto &[name, odd] : inputs) {
        CAPTURE(name);
        for (std::size_t position = 0; position <= 2; ++position) {
            std::vector<std::string> objects{ first, second };
            objects.insert(objects.begin() + static_cast<std::ptrdiff_t>(position), odd);
            const StorePage page = decodeList(DirectoryPart::Targets, listOf(objects));
            const DirectoryResult events = decodeEvents(DirectoryPart::Targets, eventsOf(objects));
            for (const DirectoryResult &answer : { page.answer, events }) {
                CHECK_FALSE(answer.error);
                CHECK(answer.revision == Revision{ 9 });
                REQUIRE(answer.targets.size() == 2);
                CHECK(answer.targets[0].target.target.id == targetIdOf("i-1"));
                CHECK(answer.targets[1].target.target.id == targetIdOf("i-2"));
                CHECK(answer.refused.size() == 1);
            }
            CHECK_FALSE(page.continueAfter.empty());
        }
    }
}

TEST_CASE("an odd object of the corpus beside the routes leaves the routes in force")
{
    const std::string routes = objectOf("main", stateWith({ routeOf("198.18.0.1", R"(,"service":"s")") }));
    for (const auto &[name, odd] : loadCorpus("store-objects")) {
        CAPTURE(name);
        for (const auto &objects : { std::vector{ odd, routes }, std::vector{ routes, odd } }) {
            const StorePage page = decodeList(DirectoryPart::Services, listOf(objects));
            CHECK_FALSE(page.answer.error);
            REQUIRE(page.answer.services);
            CHECK(page.answer.services->version == 5);
            const DirectoryResult events = decodeEvents(DirectoryPart::Services, eventsOf(objects));
            REQUIRE(events.services);
            CHECK(events.services->routes.size() == 1);
        }
    }
}

TEST_CASE("a field that is not read may hold anything")
{
    for (std::size_t content = 0; content < OddSpecs; ++content) {
        std::string spec(ValidSpec);
        spec.insert(1, R"("comment":)" + oddSpec(content) + ",");
        const StorePage page = decodeList(DirectoryPart::Targets, listOf({ objectOf("i-1", spec) }));
        CAPTURE(content);
        CHECK(page.answer.targets.size() == 1);
        CHECK(page.answer.refused.empty());
    }
}

TEST_CASE("a refused entry has a reason, its field, a short name and the target that it is named after")
{
    const auto refusedOf = [](std::string_view spec) {
        return decodeList(DirectoryPart::Targets, listOf({ objectOf("i-1f", spec) })).answer.refused.at(0);
    };
    const RefusedEntry port =
        refusedOf(R"({"service":"s","address":"10.0.0.2:70000","zone":"a","maxConcurrency":3,"state":"ready"})");
    CHECK(port.name == "i-1f");
    CHECK(port.reason == EntryError::InvalidValue);
    CHECK(port.field == "address");
    CHECK(port.target == targetIdOf("i-1f"));
    const RefusedEntry slots =
        refusedOf(R"({"service":"s","address":"10.0.0.2:80","zone":"a","maxConcurrency":1e999,"state":"ready"})");
    CHECK(slots.reason == EntryError::UnreadableField);
    CHECK(slots.field == "maxConcurrency");
    CHECK(refusedOf(R"({"address":"10.0.0.2:80"})").reason == EntryError::MissingField);
    CHECK(refusedOf("null").reason == EntryError::NotAnObject);
    const std::string longName(100, 'x');
    const auto page = decodeList(DirectoryPart::Targets, listOf({ objectOf(longName + "-1", "null") }));
    CHECK(page.answer.refused.at(0).name == longName.substr(0, 64));
    const std::string cutCharacter = std::string(63, 'x') + "\xc3\xa4-1";
    const auto accented = decodeList(DirectoryPart::Targets, listOf({ objectOf(cutCharacter, "null") }));
    CHECK(accented.answer.refused.at(0).name == std::string(63, 'x'));
}

TEST_CASE("one megabyte of nested brackets in an entry allocates a small multiple of the other entries' size")
{
    constexpr std::size_t levels = 500'000;
    std::string nested(levels, '[');
    nested.append(levels, ']');
#if defined(__SANITIZE_ADDRESS__)
    REQUIRE(installedHooks > 0);
#endif
    for (const std::string &odd : { objectOf("i-9", nested), nested }) {
        const std::string list = listOf({ objectOf("i-1", ValidSpec), odd, objectOf("i-2", ValidSpec) });
        allocatedBytes = 0;
        const StorePage page = decodeList(DirectoryPart::Targets, list);
        CHECK(allocatedBytes < 100'000);
        CHECK(page.answer.targets.size() == 2);
        CHECK(page.answer.refused.size() == 1);
    }
}

TEST_CASE("one odd route leaves the others in force and keeps its last readable definition")
{
    const std::string good = R"(,"service":"s","timeoutMs":700)";
    const auto decode = [&](std::string_view second) {
        const std::string state =
            stateWith({ routeOf("198.18.0.1", good), routeOf("198.18.0.2", second), routeOf("198.18.0.3", good) });
        return decodeList(DirectoryPart::Services, listOf({ objectOf("main", state) })).answer;
    };
    const ServiceMapPtr before = decode(good).services;
    REQUIRE(before->routes.size() == 3);
    for (const std::string_view odd : {
             std::string_view(R"(,"service":7)"),
             std::string_view(R"(,"split":[{"service":"s","weight":1e999}])"),
             std::string_view(R"(,"split":[])"),
             std::string_view(R"(,"service":"s","timeoutMs":1e300)"),
             std::string_view(R"(,"service":"s","type":[[[[]]]])"),
         }) {
        CAPTURE(odd);
        const DirectoryResult answer = decode(odd);
        REQUIRE(answer.services);
        CHECK(answer.services->routes.size() == 2);
        CHECK(answer.refused.size() == 1);
        CHECK(answer.refused.front().name == "198.18.0.2:443");
        const ServiceMapPtr merged = withKnownRoutes(before, answer.services);
        REQUIRE(merged->routes.size() == 3);
        CHECK(merged->routes.at(routeAddress(2)) == before->routes.at(routeAddress(2)));
        CHECK(withKnownRoutes(nullptr, answer.services)->routes.size() == 2);
    }
}

TEST_CASE("a desired state without a readable version is refused whole, and the revision is still applied")
{
    for (const std::string_view version : { "1e999", "-1", "\"5\"", "null" }) {
        CAPTURE(version);
        const std::string state = R"({"version":)" + std::string(version) + R"(,"routes":[]})";
        const auto answer = decodeList(DirectoryPart::Services, listOf({ objectOf("main", state) })).answer;
        CHECK_FALSE(answer.error);
        CHECK_FALSE(answer.services);
        CHECK(answer.revision == Revision{ 9 });
        CHECK(answer.refused.size() == 1);
    }
}

TEST_CASE("a target whose entry turned odd keeps its last valid state until the entry is deleted")
{
    TargetReplica replica;
    replica.apply({ Revision{ 5 },
                    true,
                    { { Revision{ 4 }, ListingState::Present, listedTarget(1) },
                      { Revision{ 5 }, ListingState::Present, listedTarget(2) } } },
                  start);
    const TargetUpdate odd =
        replica.apply({ Revision{ 7 }, true, { { Revision{ 4 }, ListingState::Present, listedTarget(1) } } }, start,
                      { { TargetId{ 2 } }, {} });
    CHECK(odd.changes.empty());
    CHECK(replica.size() == 2);
    CHECK(replica.updateSince({}).changes.size() == 2);
    const TargetUpdate deleted =
        replica.apply({ Revision{ 8 }, false, { { Revision{ 8 }, ListingState::Gone, listedTarget(2) } } }, start);
    REQUIRE(deleted.changes.size() == 1);
    CHECK(deleted.changes.front().listing == ListingState::Expired);
    CHECK(replica.size() == 1);
}

TEST_CASE("a condition that is found again and again is reported once a period for each subject")
{
    PeriodicReports reports;
    CHECK(reports.isDue("a", start));
    CHECK(reports.isDue("b", start));
    CHECK_FALSE(reports.isDue("a", start + PeriodicReports::Period - Milliseconds(1)));
    CHECK(reports.isDue("a", start + PeriodicReports::Period));
    for (std::size_t i = 0; i < 10 * PeriodicReports::MaxSubjects; ++i) {
        reports.isDue("subject " + std::to_string(i), start + PeriodicReports::Period);
    }
    CHECK_FALSE(reports.isDue("one more", start + PeriodicReports::Period));
    CHECK(reports.isDue("one more", start + 3 * PeriodicReports::Period));
}

TEST_CASE("each odd spec of an evacuation is refused by itself if it is no object, and hides no other evacuation")
{
    for (std::size_t content = 0; content < OddSpecs; ++content) {
        const std::string spec = oddSpec(content);
        CAPTURE(content, spec.substr(0, 40));
        const std::vector<std::string> objects{ objectOf("a", "{}"), objectOf("b", spec), objectOf("c", "{}") };
        const std::size_t accepted = spec == "null" || spec.starts_with('{') ? 1 : 0;
        for (const DirectoryResult &answer :
             { decodeList(DirectoryPart::Evacuations, listOf(objects), { { "a", "b", "c" } }).answer,
               decodeEvents(DirectoryPart::Evacuations, eventsOf(objects), { { "a", "b", "c" } }) }) {
            REQUIRE_FALSE(answer.error);
            REQUIRE(answer.evacuations.size() == 3);
            CHECK(answer.evacuations[0].zone == zoneIdOf("a"));
            CHECK((answer.evacuations[1].entry == EvacuationEntry::Evacuated) == (accepted == 1));
            CHECK(answer.evacuations[2].zone == zoneIdOf("c"));
            CHECK(answer.refused.size() == 1 - accepted);
        }
    }
}

TEST_CASE("an evacuation whose name or bytes cannot be read is refused by itself")
{
    for (const auto &[name, object] : loadCorpus("evacuation-objects")) {
        CAPTURE(name);
        const StorePage page = decodeList(
            DirectoryPart::Evacuations, listOf({ objectOf("a", "{}"), object, objectOf("c", "{}") }), { { "a", "c" } });
        REQUIRE_FALSE(page.answer.error);
        CHECK(page.answer.refused.size() == 1);
        REQUIRE(page.answer.evacuations.size() == 2);
        CHECK(page.answer.evacuations[1].zone == zoneIdOf("c"));
    }
}

TEST_CASE("random bytes in place of one object never hide the other objects while its brackets and strings are closed")
{
    CHECK(rc::check("splice", [] {
        const std::string alphabet = "[]{}\",:0e9\\ \xff-.tn";
        const auto picks =
            *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, alphabet.size()));
        std::string odd;
        for (const std::size_t pick : picks) {
            odd += alphabet[pick];
        }
        const bool closed = sliceArray("[" + odd + ",1]") && sliceArray("[" + odd + ",1]")->size() == 2;
        const StorePage page =
            decodeList(DirectoryPart::Targets, listOf({ objectOf("i-1", ValidSpec), odd, objectOf("i-2", ValidSpec) }));
        RC_ASSERT(page.answer.targets.size() <= 2U);
        if (closed) {
            RC_ASSERT(!page.answer.error);
            RC_ASSERT(page.answer.targets.size() == 2U);
        }
        static_cast<void>(decodeEvents(DirectoryPart::Targets, eventsOf({ odd })));
        static_cast<void>(decodeList(DirectoryPart::Services, listOf({ objectOf("main", odd) })));
        static_cast<void>(decodeList(DirectoryPart::Evacuations, listOf({ objectOf("a", odd), odd })));
    }));
}
