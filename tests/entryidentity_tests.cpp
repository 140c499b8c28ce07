// An entry of the store is identified by its full name. Names that give the same number, as those of annotations and
// copies do, are entries of their own, whether they are written, refused or deleted.

#include "platform/storeobjects.h"
#include "service/targetreplica.h"

#include <catch2/catch.hpp>

using namespace poplarroad;
using namespace poplarroad::platform;

namespace
{

constexpr TimePoint start{ std::chrono::seconds(1000) };
constexpr std::string_view Name = "i-7f3a91c2";
/** Other names that give the same number. */
constexpr std::array<std::string_view, 4> OtherNames{ "audit-i-7f3a91c2", "i-007f3a91c2", "i-7F3A91C2", "7f3a91c2" };
constexpr std::string_view Spec =
    R"({"service":"s","address":"10.0.0.2:80","zone":"a","maxConcurrency":3,"state":"ready","born":7})";
constexpr std::string_view OddSpec = R"({"comment":"seen by the auditor"})";

std::string objectOf(std::string_view name, std::string_view spec, int revision)
{
    return R"({"meta":{"name":")" + std::string(name) + R"(","revision":)" + std::to_string(revision) + R"(},"spec":)"
        + std::string(spec) + "}";
}

std::vector<TargetId> refusedTargets(const DirectoryResult &answer)
{
    std::vector<TargetId> targets;
    for (const RefusedEntry &entry : answer.refused) {
        if (entry.target) {
            targets.push_back(*entry.target);
        }
    }
    return targets;
}

/** A replica that reads lists and events of the store. */
struct Reader
{
    TargetUpdate list(const std::string &objects, int revision)
    {
        const StorePage page = decodeList(DirectoryPart::Targets,
                                          R"({"items":[)" + objects + R"(],"truncated":false,"currentRev":)"
                                              + std::to_string(revision) + "}");
        return apply(page.answer);
    }
    TargetUpdate event(bool deleted, const std::string &object, int revision)
    {
        return apply(decodeEvents(DirectoryPart::Targets,
                                  R"({"events":[{"deleted":)" + std::string(deleted ? "true" : "false")
                                      + R"(,"object":)" + object + R"(}],"currentRev":)" + std::to_string(revision)
                                      + "}"));
    }
    TargetUpdate apply(const DirectoryResult &answer)
    {
        REQUIRE_FALSE(answer.error);
        return replica.apply({ answer.revision, answer.complete, answer.targets }, start,
                             { refusedTargets(answer), answer.segments });
    }

    TargetReplica replica;
};

} // namespace

// Guards against the deletion of an annotation that removed the live target it was named after.
TEST_CASE("the deletion of an odd entry with another name that gives the same number removes no target")
{
    for (const std::string_view other : OtherNames) {
        CAPTURE(other);
        Reader reader;
        reader.list(objectOf(Name, Spec, 5), 5);
        CHECK(reader.event(false, objectOf(other, OddSpec, 6), 6).changes.empty());
        CHECK(reader.event(true, objectOf(other, OddSpec, 7), 7).changes.empty());
        CHECK(reader.replica.size() == 1);
        CHECK(reader.replica.expiredCount() == 0);
    }
}

TEST_CASE("the deletion of a copy with another name leaves the entry of the target")
{
    for (const std::string_view other : OtherNames) {
        CAPTURE(other);
        Reader reader;
        reader.list(objectOf(Name, Spec, 5), 5);
        reader.event(false, objectOf(other, Spec, 6), 6);
        reader.event(true, objectOf(other, Spec, 7), 7);
        CHECK(reader.replica.size() == 1);
        const auto left = reader.replica.updateSince({}).changes;
        CHECK(std::any_of(left.begin(), left.end(), [](const TargetChange &change) {
            return change.listing == ListingState::Present && change.target.target.name == Name;
        }));
    }
}

TEST_CASE("an odd entry with another name does not keep a target whose own entry has left")
{
    for (const std::string_view other : OtherNames) {
        CAPTURE(other);
        Reader reader;
        reader.list(objectOf(Name, Spec, 5) + "," + objectOf(other, OddSpec, 4), 5);
        const TargetUpdate update = reader.list(objectOf(other, OddSpec, 4), 9);
        REQUIRE(update.changes.size() == 1);
        CHECK(update.changes.front().listing == ListingState::Expired);
        CHECK(reader.replica.size() == 0);
    }
}

TEST_CASE("a target that turned odd under its own name stays, and its deletion removes it")
{
    Reader reader;
    reader.list(objectOf(Name, Spec, 5), 5);
    CHECK(reader.list(objectOf(Name, OddSpec, 6), 6).changes.empty());
    CHECK(reader.replica.size() == 1);
    const TargetUpdate update = reader.event(true, objectOf(Name, OddSpec, 7), 7);
    REQUIRE(update.changes.size() == 1);
    CHECK(update.changes.front().listing == ListingState::Expired);
}
