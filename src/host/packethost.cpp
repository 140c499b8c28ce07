#include "host/packethost.h"

#include <log4cxx/logger.h>

#include <thread>

namespace poplarroad
{

namespace
{

log4cxx::LoggerPtr logger()
{
    return log4cxx::Logger::getLogger("poplarroad.host");
}

} // namespace

PacketHost::PacketHost(const Settings &settings, std::unique_ptr<PacketCodec> codec,
                       const DirectoryTask::SourceFactory &makeSource)
    : settings_(settings)
    , links_(makeLinks())
    , peers_(settings_, links_, peerCounters_)
    , packets_(settings_, std::move(codec), [this](SendFleetMessage message) { peers_.post(std::move(message)); },
               packetCounters_)
    , directory_(settings_, makeSource,
                 { [this](PacketTaskMessage message) { packets_.post(std::move(message)); },
                   [this](SendFleetMessage message) { peers_.post(std::move(message)); }, [this] { ready_ = true; } },
                 directoryCounters_)
    , metrics_(settings_.metrics, { &packetCounters_, &directoryCounters_, &peerCounters_ },
               { settings_.readinessPath, &ready_ })
{
}

TaskLinks PacketHost::makeLinks()
{
    TaskLinks links;
    links.toCallers = [](const CallerTaskMessage &) {};
    links.toDispatch = [](const DispatchTaskMessage &) {};
    links.toConfig = [this](ConfigTaskMessage message) {
        if (const auto *changed = std::get_if<FleetViewChanged>(&message)) {
            directory_.post(*changed);
            packets_.post(*changed);
        }
    };
    links.toFleet = [this](FleetMessageReceived received) {
        if (std::holds_alternative<LoadReport>(received.message)) {
            packets_.post(std::move(received));
        } else {
            directory_.post(std::move(received));
        }
    };
    return links;
}

PacketHost::~PacketHost()
{
    stop();
}

bool PacketHost::start()
{
    if (!packets_.bound() || !metrics_.bound() || !peers_.bound()) {
        LOG4CXX_ERROR(logger(), "Cannot bind " << toString(settings_.callers) << ", " << toString(settings_.metrics) << " or "
                                              << toString(settings_.peers));
        return false;
    }
    packets_.start();
    directory_.start();
    peers_.start();
    metrics_.start();
    running_ = true;
    LOG4CXX_INFO(logger(), "start zone=" << settings_.zone << " callers=" << toString(settings_.callers));
    return true;
}

void PacketHost::leave()
{
    ready_ = false;
    directory_.post(BeginLeave{});
    LOG4CXX_INFO(logger(), "stop drain-ms=" << settings_.drainTime.count());
    std::this_thread::sleep_for(settings_.drainTime);
    stop();
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
    metrics_.stop();
    peers_.join();
    packets_.join();
    directory_.join();
    metrics_.join();
}

} // namespace poplarroad
