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
    , packets_(settings_, std::move(codec), packetCounters_)
    , directory_(makeSource,
                 { [this](PacketTaskMessage message) { packets_.post(std::move(message)); }, [this] { ready_ = true; } },
                 directoryCounters_)
    , metrics_(settings_.metrics, { &packetCounters_, &directoryCounters_ }, { settings_.readinessPath, &ready_ })
{
}

PacketHost::~PacketHost()
{
    stop();
}

bool PacketHost::start()
{
    if (!packets_.bound() || !metrics_.bound()) {
        LOG4CXX_ERROR(logger(), "Cannot bind " << toString(packets_.bound() ? settings_.metrics : settings_.callers));
        return false;
    }
    packets_.start();
    directory_.start();
    metrics_.start();
    running_ = true;
    LOG4CXX_INFO(logger(), "start zone=" << settings_.zone << " callers=" << toString(settings_.callers));
    return true;
}

void PacketHost::leave()
{
    ready_ = false;
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
    packets_.post(StopTask{});
    directory_.post(StopTask{});
    metrics_.stop();
    packets_.join();
    directory_.join();
    metrics_.join();
}

} // namespace poplarroad
