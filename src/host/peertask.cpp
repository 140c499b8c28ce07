#include "host/peertask.h"

#include "incarnation.h"
#include "poplarroad/visitor.h"
#include "service/directorytiming.h"

#include <unistd.h>

#include <random>

namespace poplarroad
{

namespace
{

/** Interval of the probes of each link: links that fell silent are replaced before the next message needs them. */
constexpr Milliseconds ProbePeriod{ 3000 };
/** Time for the answer to a probe; allows for a round trip between zones and a busy small machine. */
constexpr Milliseconds ProbeTimeout{ 250 };
static_assert(ProbeTimeout <= DirectoryTiming::DeliveryTime,
              "a message that is lost on a silent link must be noticed within the time for its delivery");

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

PeerIdentity identityOf(const Settings &settings)
{
    return { settings.peers, drawIncarnation(), zoneIdOf(settings.zone) };
}

std::uint64_t wallClockMs()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(time).count());
}

FrameLimits limitsOf(const Settings &settings)
{
    FrameLimits limits;
    limits.maxFrameBytes = MaxFrame + PeerAuth::Overhead;
    // The queue has to hold the largest complete configuration that the design allows for. The packet front end sends
    // none, and its content is limited to a fraction of the link.
    const bool sendsConfigurations = settings.frontend == Frontend::Requests;
    limits.maxQueuedBytes = (sendsConfigurations ? 32 : 4) * MaxFrame;
    limits.connectTimeout = settings.connectTimeout;
    limits.probes = true;
    return limits;
}

} // namespace

PeerTask::PeerTask(const Settings &settings, const TaskSenders &senders, CounterSet &counters)
    : senders_(senders)
    , counters_(counters)
    , self_(identityOf(settings))
    , limits_(limitsOf(settings))
    , codec_(TokenCodec(KeyRing(settings.keys)))
    , signer_(KeyRing(settings.keys), self_)
    , datagramAuthenticator_(KeyRing(settings.keys), self_)
    , frameAuthenticator_(KeyRing(settings.keys), self_)
    , membership_(self_, settings.seeds, timing_, std::random_device()(), wallClockMs(), settings.rank())
    , udp_(loop_, settings.peers, [this](const HostAddress &, std::string_view bytes) { onDatagram(bytes); })
    , listener_(loop_, settings.peers, [this](evutil_socket_t socket, const HostAddress &) { onAccept(socket); })
    , timer_(loop_,
             [this] {
                 MembershipActions actions;
                 membership_.onTimer(now(), actions);
                 execute(actions);
             })
    , probeTimer_(loop_, [this] { onProbeTimer(); })
    , mailbox_(loop_, [this](PeerTaskMessage &&message) { handle(std::move(message)); })
{
}

void PeerTask::start()
{
    execute({ ViewChanged{ membership_.view() } });
    timer_.armAt(now());
    thread_.start(loop_, "peers");
}

void PeerTask::post(PeerTaskMessage message)
{
    mailbox_.post(std::move(message));
}

void PeerTask::join()
{
    thread_.join();
}

void PeerTask::handle(PeerTaskMessage &&message)
{
    MembershipActions actions;
    std::visit(
        Visitor{
            [&](const ConfigurationChanged &changed) { membership_.setRevision(changed.configuration->revision()); },
            [&](const SendForwardedMessage &forward) { sendFrame(forward.host, forward.message); },
            [&](const SendForwardedReply &reply) { sendFrame(reply.host, reply.reply); },
            [&](const SendConfigMessage &config) {
                for (const PeerFrame &frame : framesOf(config.message)) {
                    counters_.add(Counter::ConfigMessages);
                    counters_.add(Counter::PeerControlBytesSent, sendFrame(config.host, frame));
                }
            },
            [&](const SendFleetMessage &send) { sendFleetMessage(send); },
            [&](const PlatformHosts &hosts) { membership_.onPlatformHosts(hosts.live, hosts.leaving, now(), actions); },
            [&](const ProcessPaused &paused) { onPaused(paused.incarnation); },
            [&](const BeginLeave &) { membership_.leave(now(), actions); },
            [&](const MembershipStatusQuery &query) { query.reply(membership_.view(), membership_.status()); },
            [&](const StopTask &) { loop_.stop(); },
        },
        message);
    execute(actions);
}

void PeerTask::onDatagram(std::string_view bytes)
{
    const auto authenticated = bytes.size() > MaxDatagram ? std::nullopt : datagramAuthenticator_.authenticate(bytes);
    const auto datagram = authenticated ? codec_.decodePeerDatagram(authenticated->payload) : std::nullopt;
    if (authenticated && !datagram && onFleetMessage(authenticated->from, authenticated->payload)) {
        counters_.add(Counter::PeerDatagramsReceived);
        return;
    }
    if (!datagram) {
        counters_.add(Counter::PeerMessagesRefused);
        return;
    }
    counters_.add(Counter::PeerDatagramsReceived);
    MembershipActions actions;
    membership_.onDatagram(authenticated->from, *datagram, now(), actions);
    execute(actions);
}

void PeerTask::onAccept(evutil_socket_t socket)
{
    const std::uint64_t key = nextIncomingKey_++;
    incomingLinks_[key] = std::make_unique<FrameConnection>(
        loop_, socket, limits_, [this](std::string_view frame) { onFrame(frame); },
        [this, key](ConnectionEnd end) {
            if (end == ConnectionEnd::FrameTooLong) {
                counters_.add(Counter::FramesTooLong);
            }
            incomingLinks_.erase(key);
        });
}

void PeerTask::onFrame(std::string_view bytes)
{
    const auto authenticated = frameAuthenticator_.authenticate(bytes);
    auto frame = authenticated ? codec_.decodePeerFrame(authenticated->payload) : std::nullopt;
    if (authenticated && !frame && onFleetMessage(authenticated->from, authenticated->payload)) {
        counters_.add(Counter::PeerFramesReceived);
        return;
    }
    if (!frame) {
        counters_.add(Counter::PeerMessagesRefused);
        return;
    }
    counters_.add(Counter::PeerFramesReceived);
    std::visit(Visitor{
                   [&](ForwardedMessage &&forwarded) { senders_.toCallers(std::move(forwarded)); },
                   [&](ForwardedReply &&reply) { senders_.toCallers(std::move(reply)); },
                   [&](SnapshotPart &&part) {
                       if (auto snapshot = snapshots_.add(authenticated->from.address, std::move(part))) {
                           senders_.toConfig(PeerConfigReceived{ authenticated->from.address, std::move(*snapshot) });
                       }
                   },
                   [&](auto &&config) {
                       senders_.toConfig(
                           PeerConfigReceived{ authenticated->from.address, std::forward<decltype(config)>(config) });
                   },
               },
               std::move(*frame));
}

bool PeerTask::onFleetMessage(const PeerIdentity &from, std::string_view payload)
{
    if (!senders_.toFleet || codec_.lastError() != WireError::UnexpectedKind) {
        return false;
    }
    auto message = codec_.decodeFleetMessage(payload);
    if (message) {
        senders_.toFleet({ from.address, from.zone, std::move(*message) });
    }
    return message.has_value();
}

void PeerTask::sendFleetMessage(const SendFleetMessage &send)
{
    const std::string encoded = encodeFleetMessage(send.message);
    bool probed = false;
    for (const HostAddress &host : send.hosts) {
        if (encoded.size() + PeerAuth::Overhead <= MaxDatagram) {
            sendDatagram(host, encoded);
        } else {
            counters_.add(Counter::PeerControlBytesSent, sendFrame(host, encoded));
            if (std::holds_alternative<DirectoryContent>(send.message)) {
                outgoingLinks_.at(host)->probe(now());
                probed = true;
            }
        }
    }
    if (probed) {
        armProbeTimer();
    }
}

void PeerTask::sendDatagram(const HostAddress &host, const std::string &encoded)
{
    std::string bytes = signer_.sign(encoded, host);
    counters_.add(Counter::PeerDatagramsSent);
    counters_.add(Counter::PeerControlBytesSent, bytes.size());
    udp_.send(host, std::move(bytes));
}

std::size_t PeerTask::sendFrame(const HostAddress &host, const PeerFrame &frame)
{
    return sendFrame(host, codec_.encode(frame));
}

std::size_t PeerTask::sendFrame(const HostAddress &host, const std::string &encoded)
{
    auto &link = outgoingLinks_[host];
    if (!link) {
        link = std::make_unique<FrameConnection>(
            loop_, host, limits_, [](std::string_view) {}, [this, host](ConnectionEnd end) { onLinkEnd(host, end); });
    }
    if (nextProbe_ == TimePoint{}) {
        nextProbe_ = now() + ProbePeriod;
        armProbeTimer();
    }
    const std::string bytes = signer_.sign(encoded, host);
    if (!link->send(bytes)) {
        // The peer does not read. Requests sent to it end at their deadlines.
        counters_.add(Counter::PeerFramesDropped);
        return 0;
    }
    counters_.add(Counter::PeerFramesSent);
    return bytes.size();
}

void PeerTask::onLinkEnd(const HostAddress &host, ConnectionEnd end)
{
    if (end == ConnectionEnd::FrameTooLong) {
        counters_.add(Counter::FramesTooLong);
    }
    counters_.add(Counter::PeerLinksLost);
    outgoingLinks_.erase(host);
    senders_.toCallers(PeerLinkLost{ host });
}

TimePoint PeerTask::silentAt(const HostAddress &host, const FrameConnection &link) const
{
    const bool answers = link.hasAnsweredProbe() || probedHosts_.contains(host);
    return answers ? link.silentAt(ProbeTimeout) : TimePoint::max();
}

void PeerTask::onProbeTimer()
{
    const TimePoint time = now();
    closeSilentLinks(time);
    if (time >= nextProbe_) {
        for (const auto &[host, link] : outgoingLinks_) {
            link->probe(time);
        }
        nextProbe_ = time + ProbePeriod;
    }
    armProbeTimer();
}

void PeerTask::closeSilentLinks(TimePoint now)
{
    std::vector<HostAddress> silent;
    for (const auto &[host, link] : outgoingLinks_) {
        if (now >= silentAt(host, *link)) {
            silent.push_back(host);
        } else if (link->hasAnsweredProbe()) {
            probedHosts_.insert(host);
        }
    }
    for (const HostAddress &host : silent) {
        if (!outgoingLinks_.at(host)->hasAnsweredProbe()) {
            // The host may run an earlier version now, which answers no probe.
            probedHosts_.erase(host);
        }
        counters_.add(Counter::PeerLinksSilent);
        onLinkEnd(host, ConnectionEnd::Closed);
    }
}

void PeerTask::armProbeTimer()
{
    TimePoint due = nextProbe_;
    for (const auto &[host, link] : outgoingLinks_) {
        due = std::min(due, silentAt(host, *link));
    }
    probeTimer_.armAt(due);
}

void PeerTask::onPaused(Incarnation incarnation)
{
    counters_.add(Counter::ProcessPauses);
    signer_.setIncarnation(incarnation);
    MembershipActions actions;
    membership_.onPaused(incarnation, now(), actions);
    execute(actions);
}

void PeerTask::execute(const MembershipActions &actions)
{
    for (const MembershipAction &action : actions) {
        std::visit(Visitor{
                       [&](const SendDatagram &send) { sendDatagram(send.to, encodePeerDatagram(send.datagram)); },
                       [&](const ViewChanged &changed) {
                           senders_.toCallers(FleetViewChanged{ changed.view });
                           senders_.toDispatch(FleetViewChanged{ changed.view });
                           senders_.toConfig(FleetViewChanged{ changed.view });
                       },
                       [&](const NewerRevisionSeen &seen) { senders_.toConfig(seen); },
                   },
                   action);
    }
    timer_.armAt(membership_.nextTimer());
}

} // namespace poplarroad
