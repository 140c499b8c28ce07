#include "host/mailbox.h"

#include "host/taskthread.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace poplarroad;

TEST_CASE("concurrent posts from several threads lose no message and keep the order of each sender")
{
    constexpr std::uint64_t senders = 4;
    constexpr std::uint64_t messages = 20000;
    EventLoop loop;
    std::vector<std::uint64_t> nextExpected(senders, 0);
    std::uint64_t received = 0;
    bool ordered = true;
    Mailbox<std::pair<std::uint64_t, std::uint64_t>> mailbox(loop, [&](auto &&message) {
        ordered = ordered && nextExpected[message.first]++ == message.second;
        if (++received == senders * messages) {
            loop.stop();
        }
    });
    std::vector<std::thread> threads;
    for (std::uint64_t sender = 0; sender < senders; ++sender) {
        threads.emplace_back([&mailbox, sender] {
            for (std::uint64_t i = 0; i < messages; ++i) {
                mailbox.post({ sender, i });
            }
        });
    }
    loop.run();
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(ordered);
    CHECK(received == senders * messages);
}

TEST_CASE("a message that a handler posts to its own mailbox is handled after the current batch")
{
    EventLoop loop;
    std::vector<int> handled;
    Mailbox<int> *self = nullptr;
    Mailbox<int> mailbox(loop, [&](int &&message) {
        if (message == 1) {
            self->post(3);
        }
        handled.push_back(message);
        if (message == 3) {
            loop.stop();
        }
    });
    self = &mailbox;
    mailbox.post(1);
    mailbox.post(2);
    loop.run();
    CHECK(handled == std::vector<int>{ 1, 2, 3 });
}

TEST_CASE("messages posted before the task's thread starts are handled once it runs")
{
    EventLoop loop;
    int received = 0;
    Mailbox<int> mailbox(loop, [&](int &&message) {
        received = message;
        loop.stop();
    });
    mailbox.post(5);
    TaskThread thread;
    thread.start(loop, "test");
    thread.join();
    CHECK(received == 5);
}
