#include "service/contentqueue.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

constexpr TimePoint start{ std::chrono::seconds(1000) };
const HostAddress first{ 1, 1 };
const HostAddress second{ 2, 1 };

} // namespace

TEST_CASE("content is sent no faster than the configured rate, except for a short burst")
{
    ContentQueue queue(1000.0);
    queue.add({ first, 1, Revision{ 10 } });
    queue.add({ second, 1, Revision{ 10 } });
    CHECK(queue.take(start)->host == first);
    queue.onSent(500, start);
    const TimePoint due = start + Milliseconds(500) - ContentQueue::Burst;
    CHECK(queue.nextTimer() == due);
    CHECK_FALSE(queue.take(due - Milliseconds(1)));
    CHECK(queue.take(due)->host == second);
    queue.onSent(0, due);
    CHECK(queue.nextTimer() == TimePoint::max());
}

TEST_CASE("over a longer time the rate is kept, with one burst more at most")
{
    constexpr double bytesPerSecond = 100'000.0;
    constexpr std::size_t messageBytes = 300;
    ContentQueue queue(bytesPerSecond);
    std::size_t bytes = 0;
    for (TimePoint now = start; now < start + Milliseconds(3000); now += Milliseconds(1)) {
        for (std::uint32_t host = 1; host <= 20; ++host) {
            queue.add({ { host, 1 }, 1, Revision{ 10 } });
        }
        while (queue.take(now)) {
            queue.onSent(messageBytes, now);
            bytes += messageBytes;
        }
    }
    const double burstBytes = bytesPerSecond * std::chrono::duration<double>(ContentQueue::Burst).count();
    CHECK(static_cast<double>(bytes) <= 3.0 * bytesPerSecond + burstBytes + messageBytes);
    CHECK(static_cast<double>(bytes) >= 2.9 * bytesPerSecond);
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
