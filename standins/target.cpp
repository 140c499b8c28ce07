// Simulates targets, one per port. A target rejects requests and feeds while it is full or draining.
// SIGUSR1 starts draining, SIGTERM stops the process.
#include "common.h"

#include "base/eventloop.h"
#include "link/frameconnection.h"
#include "poplarroad/visitor.h"

#include <absl/container/flat_hash_map.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "address of the first target");
ABSL_FLAG(int, count, 1, "number of targets, on consecutive ports");
ABSL_FLAG(std::string, name, "t", "prefix of the target names; the port is appended");
ABSL_FLAG(int, slots, 3, "maximum number of concurrent requests per target");
ABSL_FLAG(int, connections, 2000, "maximum number of concurrent feeds per target");
ABSL_FLAG(int, service_us, 10000, "mean service time in microseconds");
ABSL_FLAG(std::string, distribution, "exponential",
          "distribution of the service time: fixed, exponential or lognormal");
ABSL_FLAG(int, cold_start_ms, 0,
          "time after the first request during which service takes five times as long, in milliseconds");
ABSL_FLAG(int, feed_period_ms, 100, "interval between two positions of a feed in milliseconds");
ABSL_FLAG(bool, lying_health, false, "always report a healthy target without load");
ABSL_FLAG(std::string, ledger, "", "file to which a line is appended for each event of a request");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the service times");

namespace poplarroad::standins
{

namespace
{

/** State that all targets of the process share. */
struct ProcessState
{
    EventLoop loop;
    Ledger ledger{ absl::GetFlag(FLAGS_ledger) };
    std::mt19937_64 random{ absl::GetFlag(FLAGS_seed) };
    Distribution distribution = Distribution::Fixed;
    bool draining = false;
};

/** One simulated target. */
class SimulatedTarget
{
public:
    SimulatedTarget(ProcessState &process, const HostAddress &address)
        : process_(process)
        , name_(absl::GetFlag(FLAGS_name) + std::to_string(address.port))
        , listener_(process.loop, address, [this](evutil_socket_t socket, const HostAddress &) { accept(socket); })
        , reportTimer_(process.loop, [this] { report(); })
    {
        reportTimer_.armAfter(Milliseconds(1000));
    }
    bool listening() const
    {
        return listener_.listening();
    }
    nlohmann::json status() const
    {
        return { { "name", name_ }, { "ran", ran_ }, { "refused", refused_ }, { "cancelled", cancelled_ } };
    }

private:
    /** A connection from a balancer, which carries at most one request at a time. */
    struct Connection
    {
        std::unique_ptr<FrameConnection> link;
        std::unique_ptr<LoopTimer> timer;
        std::optional<RunAtTarget> running;
        std::uint64_t position = 0; ///< feeds: last position sent
    };
    using Key = std::uint64_t;

    void accept(evutil_socket_t socket)
    {
        const Key key = nextKey_++;
        auto &connection = connections_[key];
        connection = std::make_unique<Connection>();
        connection->timer = std::make_unique<LoopTimer>(process_.loop, [this, key] { onTimer(key); });
        connection->link = std::make_unique<FrameConnection>(
            process_.loop, socket, FrameLimits{}, [this, key](std::string_view frame) { onFrame(key, frame); },
            [this, key](ConnectionEnd) { onEnd(key); });
    }

    void onEnd(Key key)
    {
        Connection &connection = *connections_.at(key);
        if (connection.running) {
            --activeRuns(connection.running->occupancy);
            process_.ledger.write("lost", connection.running->request.id, name_);
        }
        connections_.erase(key);
    }

    void onFrame(Key key, std::string_view frame)
    {
        std::optional<WireError> error;
        const auto call = decodeTargetCall(frame, error);
        if (!call) {
            onEnd(key);
            return;
        }
        Connection &connection = *connections_.at(key);
        std::visit(Visitor{
                       [&](const RunAtTarget &run) { startRun(connection, run); },
                       [&](const CancelAtTarget &cancel) { onCancel(connection, cancel.id); },
                   },
                   *call);
    }

    void startRun(Connection &connection, const RunAtTarget &run)
    {
        const bool feed = run.occupancy == Occupancy::Connection;
        const int limit = feed ? absl::GetFlag(FLAGS_connections) : absl::GetFlag(FLAGS_slots);
        if (process_.draining || activeRuns(run.occupancy) >= limit || connection.running) {
            const TargetRefusal reason = process_.draining ? TargetRefusal::Draining : TargetRefusal::Shed;
            ++refused_;
            process_.ledger.write("refused", run.request.id, name_);
            connection.link->send(encodeTargetEvent(TargetRefused{ {}, run.request.id, reason }));
            return;
        }
        ++activeRuns(run.occupancy);
        ++ran_;
        process_.ledger.write("run", run.request.id, name_);
        connection.running = run;
        connection.position = run.request.resumeFrom;
        connection.timer->armAfter(feed ? Microseconds(0) : serviceTime());
    }

    Microseconds serviceTime()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        firstRun_ = std::min(firstRun_, now);
        const bool cold = now - firstRun_ < Milliseconds(absl::GetFlag(FLAGS_cold_start_ms));
        constexpr int coldFactor = 5;
        return randomDuration(process_.distribution, Microseconds(absl::GetFlag(FLAGS_service_us)), process_.random)
            * (cold ? coldFactor : 1);
    }

    void onTimer(Key key)
    {
        Connection &connection = *connections_.at(key);
        const RunAtTarget &run = *connection.running;
        if (run.occupancy == Occupancy::Slot) {
            finish(connection, answerPayload(name_, run.request.id, 0, requestedBytes(run.request)));
            return;
        }
        const std::uint64_t position = ++connection.position;
        const std::string payload = answerPayload(name_, run.request.id, position, requestedBytes(run.request));
        connection.link->send(encodeTargetEvent(TargetResult{ {}, run.request.id, position, false, payload }));
        if (process_.draining) {
            finish(connection, {});
            return;
        }
        connection.timer->armAfter(feedPeriod());
    }

    void onCancel(Connection &connection, const RequestId &id)
    {
        if (connection.running && connection.running->request.id == id) {
            ++cancelled_;
            process_.ledger.write("cancelled", id, name_);
            finish(connection, {});
        }
    }

    /** Ends the run with a last result; an empty payload ends a feed without a further position. */
    void finish(Connection &connection, std::string payload)
    {
        const RunAtTarget run = *connection.running;
        connection.running.reset();
        connection.timer->armAt(TimePoint::max());
        --activeRuns(run.occupancy);
        process_.ledger.write("end", run.request.id, name_);
        const std::uint64_t position = run.occupancy == Occupancy::Slot ? 0 : connection.position;
        connection.link->send(
            encodeTargetEvent(TargetResult{ {}, run.request.id, position, true, std::move(payload) }));
    }

    void report()
    {
        const bool falseHealth = absl::GetFlag(FLAGS_lying_health);
        const int running = activeRuns(Occupancy::Slot);
        if (!connections_.empty()) {
            connections_.begin()->second->link->send(encodeTargetEvent(TargetReport{
                {}, falseHealth || !process_.draining, falseHealth ? 0 : static_cast<std::uint32_t>(running) }));
        }
        reportTimer_.armAfter(Milliseconds(1000));
    }

    int &activeRuns(Occupancy occupancy)
    {
        return activeRuns_[static_cast<std::size_t>(occupancy)];
    }
    static Milliseconds feedPeriod()
    {
        return Milliseconds(absl::GetFlag(FLAGS_feed_period_ms));
    }
    /** @return the answer size in bytes that the caller requests in its payload */
    static std::size_t requestedBytes(const RequestMessage &request)
    {
        constexpr std::size_t maxBytes = 500'000;
        return std::min<std::size_t>(std::strtoul(request.payload.c_str(), nullptr, 10), maxBytes);
    }

    ProcessState &process_;
    std::string name_;
    TimePoint firstRun_ = TimePoint::max();
    std::array<int, 2> activeRuns_{};
    std::uint64_t ran_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t cancelled_ = 0;
    Key nextKey_ = 1;
    absl::flat_hash_map<Key, std::unique_ptr<Connection>> connections_;
    Listener listener_;
    LoopTimer reportTimer_;
};

void onDrain(evutil_socket_t /*signal*/, short /*what*/, void *process)
{
    static_cast<ProcessState *>(process)->draining = true;
}

void onStop(evutil_socket_t /*signal*/, short /*what*/, void *process)
{
    static_cast<ProcessState *>(process)->loop.stop();
}

int runTargets()
{
    ProcessState process;
    auto address = parseHostAddress(absl::GetFlag(FLAGS_listen));
    const auto distribution = enumFrom<Distribution>(absl::GetFlag(FLAGS_distribution));
    if (!address || !distribution) {
        std::cerr << "invalid --listen or --distribution; expected a.b.c.d:port and fixed, exponential or lognormal\n";
        return 2;
    }
    process.distribution = *distribution;
    std::vector<std::unique_ptr<SimulatedTarget>> targets;
    for (int i = 0; i < absl::GetFlag(FLAGS_count); ++i, ++address->port) {
        targets.push_back(std::make_unique<SimulatedTarget>(process, *address));
        if (!targets.back()->listening()) {
            std::cerr << "cannot listen on " << toString(*address) << '\n';
            return 1;
        }
    }
    const EventPtr drain(evsignal_new(process.loop.base(), SIGUSR1, &onDrain, &process));
    const EventPtr stop(evsignal_new(process.loop.base(), SIGTERM, &onStop, &process));
    event_add(drain.get(), nullptr);
    event_add(stop.get(), nullptr);
    process.loop.run();
    for (const auto &target : targets) {
        std::cout << target->status().dump() << '\n';
    }
    return 0;
}

} // namespace

} // namespace poplarroad::standins

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    return poplarroad::standins::runTargets();
}
