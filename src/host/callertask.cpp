#include "host/callertask.h"

#include "poplarroad/visitor.h"

#include <unistd.h>

#include <random>

namespace poplarroad
{

namespace
{

/**
 * Reading from callers starts at the latest after this time. Callers must not wait for other zones, since an isolated
 * zone can serve its own pools, nor for a configuration, which a new fleet does not have.
 */
constexpr Milliseconds MaxStartDelay{ 3000 };

HostAddress addressOfKey(std::uint64_t key)
{
    return { static_cast<std::uint32_t>(key >> 16U), static_cast<std::uint16_t>(key & 0xffffU) };
}

} // namespace

CallerTask::CallerTask(const Settings &settings, const TaskSenders &senders, Tracer tracer, CounterSet &counters)
    : senders_(senders)
    , counters_(counters)
    , tracer_(std::move(tracer))
    , codec_(TokenCodec(KeyRing(settings.keys)))
    , router_(std::random_device()())
    , udp_(loop_, settings.callers,
           [this](const HostAddress &from, std::string_view bytes) {
               // A longer datagram was truncated and must not be decoded as a shorter message.
               if (bytes.size() > MaxDatagram) {
                   counters_.add(Counter::CallerMessagesRefused);
                   return;
               }
               onBytes(bytes, from.key());
           })
    , listener_(loop_, settings.callers, [this](evutil_socket_t socket, const HostAddress &) { onAccept(socket); })
    , timer_(loop_,
             [this] {
                 RouteActions actions;
                 router_.onTimer(std::chrono::steady_clock::now(), actions);
                 execute(actions);
             })
    , startTimer_(loop_, [this] { startReading(); })
    , mailbox_(loop_, [this](CallerTaskMessage &&message) { handle(std::move(message)); })
{
    udp_.stopReading();
    listener_.pause();
}

void CallerTask::start()
{
    startTimer_.armAfter(MaxStartDelay);
    thread_.start(loop_, "callers");
}

void CallerTask::post(CallerTaskMessage message)
{
    mailbox_.post(std::move(message));
}

void CallerTask::join()
{
    thread_.join();
}

void CallerTask::handle(CallerTaskMessage &&message)
{
    const TimePoint now = std::chrono::steady_clock::now();
    std::visit(Visitor{
                   [&](ConfigurationChanged &&changed) { onConfiguration(std::move(changed.configuration), now); },
                   [&](FleetViewChanged &&changed) { onView(std::move(changed.view), now); },
                   [&](ForwardedReply &&reply) { onReply(std::move(reply)); },
                   [&](ForwardedMessage &&forwarded) { onForwarded(std::move(forwarded)); },
                   [&](PeerLinkLost &&lost) {
                       RouteActions actions;
                       router_.onHostLost(lost.host, now, actions);
                       execute(actions);
                   },
                   [&](RouterStatusQuery &&query) { query.reply(router_.status()); },
                   [&](ExplainServiceQuery &&query) { query.reply(router_.explain(query.service)); },
                   [&](NotifyWhenIdle &&notify) { idleCallback_ = std::move(notify.reply); },
                   [&](StopReading &&) { stopReading(); },
                   [&](StopTask &&) { stop(); },
               },
               std::move(message));
    timer_.armAt(router_.nextTimer());
    notifyIfIdle();
}

void CallerTask::onBytes(std::string_view bytes, std::uint64_t endpoint)
{
    auto message = codec_.decodeCallerMessage(bytes);
    if (!message) {
        counters_.add(Counter::CallerMessagesRefused);
        return;
    }
    counters_.add(Counter::CallerMessages);
    if (auto *request = std::get_if<RequestMessage>(&*message)) {
        tracer_.begin(request->id, request->trace, "ingress");
    }
    RouteActions actions;
    router_.onCallerMessage(std::move(*message), endpoint, std::chrono::steady_clock::now(), actions);
    execute(actions);
}

void CallerTask::onAccept(evutil_socket_t socket)
{
    if (connections_.size() >= MaxConnections) {
        close(socket);
        return;
    }
    counters_.add(Counter::CallerConnections);
    const std::uint64_t endpoint = ConnectionBit | nextConnection_++;
    connections_[endpoint] = std::make_unique<FrameConnection>(
        loop_, socket, FrameLimits{}, [this, endpoint](std::string_view frame) { onBytes(frame, endpoint); },
        [this, endpoint](ConnectionEnd end) {
            if (end == ConnectionEnd::FrameTooLong) {
                counters_.add(Counter::FramesTooLong);
            }
            connections_.erase(endpoint);
        });
}

void CallerTask::onView(std::shared_ptr<const FleetView> view, TimePoint now)
{
    view_ = view;
    router_.setView(std::move(view), now);
    checkReadiness();
    if (view_->leaving) {
        RouteActions actions;
        router_.endFeeds(actions);
        execute(actions);
    }
}

void CallerTask::onConfiguration(ConfigurationPtr configuration, TimePoint now)
{
    configuration_ = configuration;
    router_.setConfiguration(std::move(configuration), now);
    checkReadiness();
}

void CallerTask::checkReadiness()
{
    const Readiness readiness = readinessOf(configuration_, view_);
    if (!routing_ && readiness != Readiness::None) {
        routing_ = true;
        for (ForwardedMessage &forwarded : std::exchange(heldMessages_, {})) {
            onForwarded(std::move(forwarded));
        }
    }
    if (readiness == Readiness::AllZones) {
        startReading();
    }
}

void CallerTask::startReading()
{
    if (!std::exchange(reading_, true)) {
        routing_ = true;
        udp_.startReading();
        listener_.resume();
    }
}

void CallerTask::onForwarded(ForwardedMessage &&forwarded)
{
    if (!routing_) {
        // Without a configuration, requests for any service would be answered as undeclared.
        if (heldMessages_.size() < MaxHeldMessages) {
            heldMessages_.push_back(std::move(forwarded));
        }
        return;
    }
    counters_.add(Counter::ForwardsReceived);
    RouteActions actions;
    const std::uint8_t hops = forwarded.hops;
    router_.onForwarded(std::move(forwarded.message), forwarded.path, hops, std::chrono::steady_clock::now(), actions);
    execute(actions);
}

void CallerTask::onReply(ForwardedReply &&reply)
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (reply.report) {
        router_.onPoolReport(*reply.report, now);
    }
    RouteActions actions;
    router_.onReply(std::move(reply.reply), reply.path, now, actions);
    execute(actions);
}

void CallerTask::execute(RouteActions &actions)
{
    for (RouteAction &action : actions) {
        execute(std::move(action));
    }
    timer_.armAt(router_.nextTimer());
    notifyIfIdle();
}

void CallerTask::execute(RouteAction &&action)
{
    std::visit(Visitor{
                   [&](DispatchLocally &&dispatch) {
                       counters_.add(Counter::RequestsDispatched);
                       senders_.toDispatch(std::move(dispatch));
                   },
                   [&](ForwardToHost &&forward) {
                       counters_.add(Counter::RequestsForwarded);
                       senders_.toPeers(SendForwardedMessage{
                           forward.host, { forward.path, forward.hops, std::move(forward.message) } });
                   },
                   [&](ReplyToLocalCaller &&toCaller) { reply(toCaller.endpoint, toCaller.reply); },
                   [&](ReplyToIngress &&toIngress) {
                       const HostAddress ingress = toIngress.path.ingress;
                       senders_.toPeers(
                           SendForwardedReply{ ingress, { toIngress.path, std::move(toIngress.reply), std::nullopt } });
                   },
               },
               std::move(action));
}

void CallerTask::reply(std::uint64_t endpoint, const CallerReply &reply)
{
    counters_.add(Counter::CallerReplies);
    tracer_.end(requestIdOf(reply), outcomeOf(reply));
    if ((endpoint & ConnectionBit) == 0) {
        const HostAddress to = addressOfKey(endpoint);
        auto datagrams = codec_.encodeDatagrams(reply);
        if (datagrams.empty()) {
            counters_.add(Counter::CallerRepliesDropped);
        }
        for (std::string &datagram : datagrams) {
            udp_.send(to, std::move(datagram));
        }
        return;
    }
    const auto connection = connections_.find(endpoint);
    if (connection == connections_.end() || !connection->second->send(codec_.encode(reply))) {
        counters_.add(Counter::CallerRepliesDropped);
    }
}

void CallerTask::stopReading()
{
    reading_ = true; // keeps a later view from starting it again
    listener_.close();
    udp_.stopReading();
}

void CallerTask::notifyIfIdle()
{
    if (idleCallback_ && router_.status().pending == 0) {
        std::exchange(idleCallback_, nullptr)();
    }
}

void CallerTask::stop()
{
    listener_.close();
    connections_.clear();
    loop_.stop();
}

} // namespace poplarroad
