#include "host/packethost.h"

#include <iostream>
#include <thread>

namespace poplarroad
{

PacketHost::PacketHost(const Settings &settings, std::unique_ptr<PacketCodec> codec,
                       const DirectoryTask::SourceFactory &makeSource)
    : settings_(settings)
    , log_(output_, settings_.logLevel)
    , senders_(makeSenders())
    , peers_(settings_, senders_, peerCounters_)
    , packets_(
          settings_, std::move(codec), [this](SendFleetMessage message) { peers_.post(std::move(message)); },
          packetCounters_, packetMetrics_, output_)
    , directory_(settings_, makeSource,
                 { [this](PacketTaskMessage message) { packets_.post(std::move(message)); },
                   [this](SendFleetMessage message) { peers_.post(std::move(message)); },
                   [this](PlatformHosts hosts) { peers_.post(std::move(hosts)); }, [this] { ready_ = true; } },
                 directoryCounters_, directoryMetrics_, output_)
    , status_(settings_.metrics, settings_.readinessPath, ready_, [this](MetricsWriter &writer) {
        writeCounters(writer, { &packetCounters_, &directoryCounters_, &peerCounters_ });
        writer.histogram("answer_seconds", packets_.answerTimes());
        writeMetrics(writer, packetMetrics_, directoryMetrics_);
    })
{
}

TaskSenders PacketHost::makeSenders()
{
    TaskSenders senders;
    senders.toCallers = [](const CallerTaskMessage &) {};
    senders.toDispatch = [](const DispatchTaskMessage &) {};
    // There is no configuration task; the views that the peer task sends to it go to the directory and packet tasks.
    senders.toConfig = [this](ConfigTaskMessage message) {
        if (const auto *changed = std::get_if<FleetViewChanged>(&message)) {
            directory_.post(*changed);
            packets_.post(*changed);
        }
    };
    senders.toFleet = [this](FleetMessageReceived received) {
        if (std::holds_alternative<LoadReport>(received.message)) {
            packets_.post(std::move(received));
        } else {
            directory_.post(std::move(received));
        }
    };
    return senders;
}

PacketHost::~PacketHost()
{
    stop();
}

bool PacketHost::start()
{
    for (const auto &[bound, address] :
         { std::pair(packets_.bound(), settings_.callers), std::pair(status_.bound(), settings_.metrics),
           std::pair(peers_.bound(), settings_.peers) }) {
        if (!bound) {
            std::cerr << "cannot bind " << toString(address) << '\n';
            return false;
        }
    }
    packets_.start();
    directory_.start();
    peers_.start();
    status_.start();
    running_ = true;
    log_.write(LogEvent::Start, std::chrono::steady_clock::now(),
               { { "zone", settings_.zone },
                 { "callers", toString(settings_.callers) },
                 { "peers", toString(settings_.peers) } });
    return true;
}

void PacketHost::leave()
{
    ready_ = false;
    directory_.post(BeginLeave{});
    peers_.post(BeginLeave{});
    log_.write(LogEvent::Stop, std::chrono::steady_clock::now(), { { "drain_ms", settings_.drainTime.count() } });
    std::this_thread::sleep_for(settings_.drainTime);
    stop();
}

void PacketHost::reload(const Settings &settings)
{
    log_.write(LogEvent::Reload, std::chrono::steady_clock::now(),
               { { "seeds", static_cast<std::int64_t>(settings.seeds.size()) } });
    peers_.post(PlatformHosts{ settings.seeds, {} });
}

void PacketHost::stop()
{
    if (!running_) {
        return;
    }
    running_ = false;
    peers_.post(StopTask{});
    packets_.post(StopTask{});
    directory_.post(StopTask{});
    status_.stop();
    peers_.join();
    packets_.join();
    directory_.join();
    status_.join();
}

} // namespace poplarroad
