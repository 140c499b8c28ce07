#include "service/contentqueue.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

constexpr TimePoint start{ std::chrono::seconds(1000) };
const HostAddress first{ 1, 1 };
const HostAddress second{ 2, 1 };

} // namespace

TEST_CASE("content is sent no faster than the configured rate")
{
    ContentQueue queue(1000.0);
    queue.add({ first, 1, Revision{ 10 } });
    queue.add({ second, 1, Revision{ 10 } });
    CHECK(queue.take(start)->host == first);
    queue.onSent(500, start);
    CHECK(queue.nextTimer() == start + Milliseconds(500));
    CHECK_FALSE(queue.take(start + Milliseconds(499)));
    CHECK(queue.take(start + Milliseconds(500))->host == second);
    queue.onSent(0, start + Milliseconds(500));
    CHECK(queue.nextTimer() == TimePoint::max());
}

TEST_CASE("a balancer that asks again is queued once, with the older of both versions")
{
    ContentQueue queue(1000.0);
    queue.add({ first, 7, Revision{ 10 } });
    queue.add({ first, 5, Revision{ 20 } });
    const auto content = queue.take(start);
    REQUIRE(content);
    CHECK(content->serviceVersion == 5);
    CHECK(content->targets == Revision{ 10 });
    CHECK_FALSE(queue.take(start));
}

TEST_CASE("changes do not wait behind a complete list in another queue")
{
    ContentQueue changes(1000.0);
    ContentQueue completeLists(1000.0);
    completeLists.add({ first, 0, Revision{ 0 } });
    REQUIRE(completeLists.take(start));
    completeLists.onSent(264'000, start);
    completeLists.add({ second, 0, Revision{ 0 } });
    changes.add({ first, 1, Revision{ 10 } });
    CHECK_FALSE(completeLists.take(start + std::chrono::seconds(200)));
    CHECK(changes.take(start));
}
