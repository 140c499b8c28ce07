#include "host/daemon.h"

#include "host/leavetime.h"

#include <log4cxx/logger.h>

#include <future>
#include <random>
#include <thread>

namespace poplarroad
{

namespace
{

/**
 * Time in which the other balancers learn that this one leaves: a few rounds of gossip in the zone and two summaries to
 * the other zones. Until then they still send work here.
 */
constexpr Milliseconds HandoverTime{ 2500 };
/** Time for the kernel to send the replies that the tasks have written to sockets. */
constexpr Milliseconds FlushTime{ 200 };
/** Timeout of a query to the configuration task, which never waits for the platform and so replies much earlier. */
constexpr Milliseconds ConfigurationTimeout{ 500 };

log4cxx::LoggerPtr logger()
{
    return log4cxx::Logger::getLogger("poplarroad.host");
}

} // namespace

Daemon::Daemon(const Settings &settings)
    : settings_(settings)
    , traces_(settings.traceFile.empty() ? nullptr : std::make_unique<TraceTask>(settings.traceFile))
    , callers_(settings_, senders_, makeTracer(), callerCounters_)
    , dispatch_(settings_, senders_, makeTracer(), dispatchCounters_)
    , peers_(settings_, senders_, peerCounters_)
    , metrics_(settings_.metrics, { &callerCounters_, &dispatchCounters_, &peerCounters_ })
{
}

Daemon::~Daemon()
{
    stop();
}

Tracer Daemon::makeTracer()
{
    if (!traces_) {
        return { 0.0, nullptr };
    }
    return { settings_.traceSample, [this](Span span) { traces_->post(std::move(span)); } };
}

void Daemon::connectTasks()
{
    senders_.toCallers = [this](CallerTaskMessage message) { callers_.post(std::move(message)); };
    senders_.toDispatch = [this](DispatchTaskMessage message) { dispatch_.post(std::move(message)); };
    senders_.toPeers = [this](PeerTaskMessage message) { peers_.post(std::move(message)); };
    senders_.toConfig = [this](ConfigTaskMessage message) { config_->post(std::move(message)); };
    config_ = ConfigTaskBuilder()
                  .platform(settings_.platform)
                  .self(settings_.peers)
                  .zone(zoneIdOf(settings_.zone))
                  .senders(senders_)
                  .seed(std::random_device()())
                  .build();
    const auto offset = static_cast<std::uint16_t>(settings_.operators.port - settings_.peers.port);
    operators_ = std::make_unique<OperatorTask>(OperatorEndpoint{ settings_.operators, offset }, senders_);
}

bool Daemon::allBound() const
{
    const auto check = [](bool bound, const char *what, const HostAddress &address) {
        if (!bound) {
            LOG4CXX_ERROR(logger(), "Cannot bind the address for " << what << ", " << toString(address));
        }
        return bound;
    };
    const bool callers = check(callers_.bound(), "callers", settings_.callers);
    const bool peers = check(peers_.bound(), "peers", settings_.peers);
    return check(metrics_.bound(), "metrics", settings_.metrics) && callers && peers;
}

bool Daemon::start()
{
    connectTasks();
    if (!allBound()) {
        return false;
    }
    if (traces_) {
        traces_->start();
    }
    running_ = true;
    config_->start();
    dispatch_.start();
    callers_.start();
    peers_.start();
    metrics_.start();
    if (!operators_->start()) {
        LOG4CXX_ERROR(logger(), "Cannot bind the address for operators, " << toString(settings_.operators));
        return false;
    }
    LOG4CXX_INFO(logger(),
                 "Started in zone " << settings_.zone << ", listening for callers at " << toString(settings_.callers)
                                    << " and for peers at " << toString(settings_.peers));
    return true;
}

bool Daemon::waitUntilIdle(TimePoint until)
{
    // The promises outlive this call, since a task can become idle after the wait has timed out.
    auto callersIdle = std::make_shared<std::promise<void>>();
    auto dispatchIdle = std::make_shared<std::promise<void>>();
    callers_.post(NotifyWhenIdle{ [callersIdle] { callersIdle->set_value(); } });
    dispatch_.post(NotifyWhenIdle{ [dispatchIdle] { dispatchIdle->set_value(); } });
    return callersIdle->get_future().wait_until(until) == std::future_status::ready
        && dispatchIdle->get_future().wait_until(until) == std::future_status::ready;
}

Milliseconds Daemon::currentLeaveTime()
{
    auto answer = std::make_shared<std::promise<ConfigurationPtr>>();
    config_->post(ConfigStatusQuery{
        [answer](ConfigurationPtr configuration, bool) { answer->set_value(std::move(configuration)); } });
    auto configuration = answer->get_future();
    if (configuration.wait_for(ConfigurationTimeout) != std::future_status::ready) {
        return settings_.leaveTimeout;
    }
    return leaveTime(configuration.get(), settings_.leaveTimeout);
}

void Daemon::leave()
{
    LOG4CXX_INFO(logger(), "Leaving");
    const TimePoint start = std::chrono::steady_clock::now();
    const TimePoint until = start + settings_.leaveTimeout;
    peers_.post(BeginLeave{});
    const Milliseconds minStay = currentLeaveTime();
    std::this_thread::sleep_until(start + std::min(HandoverTime, minStay));
    callers_.post(StopReading{});
    // Requests with tokens of this process, and retries of them, still arrive through the other balancers.
    std::this_thread::sleep_until(start + minStay);
    if (!waitUntilIdle(until)) {
        LOG4CXX_WARN(logger(), "Requests were still in progress after " << settings_.leaveTimeout.count() << " ms");
    }
    std::this_thread::sleep_for(FlushTime);
    stop();
    LOG4CXX_INFO(logger(), "Stopped");
}

void Daemon::stop()
{
    if (!running_) {
        return;
    }
    running_ = false;
    operators_->stop();
    config_->stop();
    callers_.post(StopTask{});
    dispatch_.post(StopTask{});
    peers_.post(StopTask{});
    metrics_.stop();
    callers_.join();
    dispatch_.join();
    peers_.join();
    metrics_.join();
    if (traces_) {
        traces_->post(StopTask{});
        traces_->join();
    }
}

} // namespace poplarroad
