// Invalid inputs from the platform, taken from the corpus or made by bit flips and truncation: packets of callers and
// objects of the store.

#include "corpus.h"
#include "platform/flowpacketcodec.h"
#include "platform/storeobjects.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace poplarroad;
using namespace poplarroad::platform;
using poplarroad::test::loadCorpus;

namespace
{

std::string listWith(const std::string &spec)
{
    const std::string valid =
        R"({"service":"s","address":"10.0.0.2:80","zone":"a","maxConcurrency":3,"state":"ready"})";
    return R"({"items":[{"meta":{"name":"i-1","revision":3},"spec":)" + spec
        + R"(},{"meta":{"name":"i-2","revision":4},"spec":)" + valid + R"(}],"truncated":false,"currentRev":9})";
}

} // namespace

TEST_CASE("each malformed packet of the corpus is rejected with an error")
{
    const auto inputs = loadCorpus("packets");
    REQUIRE(inputs.size() >= 10);
    FlowPacketCodec codec;
    for (const auto &[name, bytes] : inputs) {
        CAPTURE(name);
        CHECK_FALSE(codec.decode(bytes));
        CHECK(codec.lastError());
    }
}

TEST_CASE("each malformed store answer of the corpus is rejected, as a list and as events")
{
    const auto inputs = loadCorpus("store-list");
    REQUIRE(inputs.size() >= 10);
    for (const auto &[name, text] : inputs) {
        CAPTURE(name);
        for (const DirectoryPart part : { DirectoryPart::Services, DirectoryPart::Targets }) {
            CHECK(decodeList(part, text).answer.error == StoreError::Malformed);
            CHECK(decodeEvents(part, text).error == StoreError::Malformed);
        }
    }
}

TEST_CASE("an invalid target entry is skipped, and the other entries are used")
{
    const auto inputs = loadCorpus("store-entries");
    REQUIRE(inputs.size() >= 10);
    for (const auto &[name, spec] : inputs) {
        CAPTURE(name);
        const StorePage page = decodeList(DirectoryPart::Targets, listWith(spec));
        CHECK_FALSE(page.answer.error);
        CHECK(page.answer.refused.size() == 1);
        REQUIRE(page.answer.targets.size() == 1);
        CHECK(page.answer.targets.front().target.target.id == targetIdOf("i-2"));
    }
}

TEST_CASE("a truncated list with flipped bits yields no extra targets, no target without slots and no exception")
{
    const std::string text = listWith(R"({"service":"s","address":"10.0.0.1:80","zone":"a","maxConcurrency":3,)"
                                      R"("state":"draining","warmupLeftMs":100,"born":7})");
    REQUIRE(decodeList(DirectoryPart::Targets, text).answer.targets.size() == 2);
    CHECK(rc::check("flipped bits and cut ends", [&] {
        std::string damaged = text;
        for (int flips = *rc::gen::inRange(1, 5); flips > 0; --flips) {
            const std::size_t bit = *rc::gen::inRange<std::size_t>(0, damaged.size() * 8);
            damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
        }
        damaged.resize(*rc::gen::inRange<std::size_t>(0, damaged.size() + 1));
        const StorePage page = decodeList(DirectoryPart::Targets, damaged);
        RC_ASSERT(page.answer.targets.size() + page.answer.refused.size() <= 2U);
        for (const TargetChange &change : page.answer.targets) {
            RC_ASSERT(change.target.target.slots > 0);
        }
        static_cast<void>(decodeEvents(DirectoryPart::Targets, damaged));
        static_cast<void>(decodeList(DirectoryPart::Services, damaged));
    }));
}
