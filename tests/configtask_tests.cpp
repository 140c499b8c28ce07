#include "../standins/platformserver.h"
#include "host/configtask.h"
#include "host/mailbox.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

using namespace poplarroad;

namespace
{

/** Runs the fake platform server in its own thread. */
class PlatformThread
{
public:
    PlatformThread()
        : server_(loop_, 0)
        , mailbox_(loop_, [](std::function<void()> &&call) { call(); })
        , port(server_.port())
        , thread_([this] { loop_.run(); })
    {
    }
    ~PlatformThread()
    {
        mailbox_.post([this] { loop_.stop(); });
        thread_.join();
    }
    /** Runs a call in the server's thread and waits until it is done. */
    void runInThread(const std::function<void(PlatformServer &)> &call)
    {
        std::promise<void> done;
        mailbox_.post([&] {
            call(server_);
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    EventLoop loop_;
    PlatformServer server_;
    Mailbox<std::function<void()>> mailbox_;

public:
    const std::uint16_t port;

private:
    std::thread thread_;
};

/** Configuration task that delivers its messages to `peer` directly to the task of that peer. */
class Balancer
{
public:
    Balancer(std::uint16_t platformPort, std::uint16_t port)
        : address{ 0x7f000001, port }
    {
        TaskSenders senders;
        senders.toCallers = [this](const CallerTaskMessage &message) {
            const std::lock_guard lock(mutex_);
            appliedRevision_ = std::get<ConfigurationChanged>(message).configuration->revision();
            changed_.notify_all();
        };
        senders.toPeers = [this](const PeerTaskMessage &message) {
            const auto *send = std::get_if<SendConfigMessage>(&message);
            if (send && peer && send->host == peer->address) {
                peer->task->post(PeerConfigReceived{ address, send->message });
            }
        };
        task = ConfigTaskBuilder()
                   .platform({ 0x7f000001, platformPort })
                   .self(address)
                   .zone(zoneIdOf("a"))
                   .senders(senders)
                   .seed(port)
                   .build();
    }
    ChangeOutcome change(std::uint64_t basedOn, const std::string &id, const std::string &zone)
    {
        auto done = std::make_shared<std::promise<ChangeOutcome>>();
        task->post(OperatorChange{ { Revision{ basedOn }, id, PutZone{ Zone{ zoneIdOf(zone), zone } } },
                                   [done](ChangeOutcome outcome) { done->set_value(std::move(outcome)); } });
        return done->get_future().get();
    }
    bool waitFor(Revision revision)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(5), [&] { return appliedRevision_ >= revision; });
    }

    HostAddress address;
    Balancer *peer = nullptr;
    std::unique_ptr<ConfigTask> task;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    Revision appliedRevision_;
};

} // namespace

TEST_CASE("an accepted change is applied at its host and at a host that joins while the store is down")
{
    PlatformThread platform;
    Balancer first(platform.port, 7001);
    Balancer second(platform.port, 7002);
    first.peer = &second;
    second.peer = &first;
    first.task->start();
    platform.runInThread([](PlatformServer &server) { server.loseAnswers = 1; });
    CHECK(first.change(0, "c1", "a").result == ChangeResult::Accepted);
    CHECK(first.change(1, "c2", "b").result == ChangeResult::Accepted);
    CHECK(first.change(0, "c3", "b").result == ChangeResult::Conflict);
    CHECK(first.waitFor(Revision{ 2 }));
    platform.runInThread([](PlatformServer &server) { server.down = true; });
    second.task->start();
    second.task->post(NewerRevisionSeen{ first.address, Revision{ 2 } });
    CHECK(second.waitFor(Revision{ 2 }));
    CHECK(first.change(2, "c4", "c").result == ChangeResult::Unknown);
    first.task->stop();
    second.task->stop();
}

TEST_CASE("a host without peers loads the configuration from the store and receives later changes through its watch")
{
    PlatformThread platform;
    Balancer writer(platform.port, 7001);
    Balancer reader(platform.port, 7002);
    writer.task->start();
    CHECK(writer.change(0, "c1", "a").result == ChangeResult::Accepted);
    reader.task->start();
    CHECK(reader.waitFor(Revision{ 1 }));
    CHECK(writer.change(1, "c2", "b").result == ChangeResult::Accepted);
    CHECK(reader.waitFor(Revision{ 2 }));
    writer.task->stop();
    reader.task->stop();
}

TEST_CASE("building a task fails if the address of the platform or of the balancer is missing")
{
    ConfigTaskBuilder builder;
    CHECK_FALSE(builder.build());
    CHECK(builder.lastError() == ConfigTaskError::NoPlatform);
    CHECK_FALSE(builder.platform({ 1, 1 }).build());
    CHECK(builder.lastError() == ConfigTaskError::NoSelf);
}
