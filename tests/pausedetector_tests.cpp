#include "host/mailbox.h"
#include "host/pausedetector.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace poplarroad;

TEST_CASE("a pause is detected before the messages that arrived during it are handled")
{
    EventLoop loop;
    std::vector<std::string> events;
    PauseDetector pauses(loop, Milliseconds(150), [&](Milliseconds) { events.emplace_back("paused"); });
    Mailbox<int> mailbox(loop, [&](int message) {
        pauses.check();
        events.push_back(std::to_string(message));
        if (message == 2) {
            loop.stop();
        }
    });
    pauses.start();
    mailbox.post(1);
    mailbox.post(2);
    std::this_thread::sleep_for(Milliseconds(300));
    loop.run();
    CHECK(events == std::vector<std::string>{ "paused", "1", "2" });
}

TEST_CASE("a loop that runs without gaps is not reported as paused")
{
    EventLoop loop;
    int pauses = 0;
    PauseDetector detector(loop, Milliseconds(2000), [&](Milliseconds) { ++pauses; });
    LoopTimer end(loop, [&] { loop.stop(); });
    detector.start();
    end.armAfter(Milliseconds(400));
    loop.run();
    CHECK(pauses == 0);
}
