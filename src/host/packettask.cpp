#include "host/packettask.h"

#include "poplarroad/visitor.h"

#include <random>

namespace poplarroad
{

namespace
{

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

PacketTask::PacketTask(const Settings &settings, std::unique_ptr<PacketCodec> codec, CounterSet &counters)
    : callerPort_(settings.callers.port)
    , codec_(std::move(codec))
    , counters_(counters)
    , router_(zoneIdOf(settings.zone), std::random_device()())
    , socket_(loop_, settings.callers, [this](const HostAddress &, std::string_view datagram) { onDatagram(datagram); })
    , timer_(loop_, [this] { onTimer(); })
    , mailbox_(loop_, [this](PacketTaskMessage &&message) { handle(std::move(message)); })
{
}

void PacketTask::start()
{
    timer_.armAt(now());
    thread_.start(loop_, "packets");
}

void PacketTask::post(PacketTaskMessage message)
{
    mailbox_.post(std::move(message));
}

void PacketTask::join()
{
    thread_.join();
}

void PacketTask::handle(PacketTaskMessage &&message)
{
    std::visit(Visitor{
                   [&](ServicesInForce &inForce) { router_.setServices(std::move(inForce.services)); },
                   [&](const TargetUpdate &update) { 
                       router_.setTargets(update.changes, update.complete, now());
                       timer_.armAt(router_.nextTimer());
                   },
                   [&](const StopTask &) { loop_.stop(); },
               },
               message);
}

void PacketTask::onDatagram(std::string_view datagram)
{
    const auto packet = codec_->decode(datagram);
    if (!packet) {
        counters_.add(Counter::PacketsRefused);
        return;
    }
    const TimePoint time = now();
    const PacketDecision decision = router_.onPacket(*packet, time);
    std::visit(Visitor{
                   [&](const ForwardPacket &forward) {
                       counters_.add(Counter::PacketsForwarded);
                       const PacketHead head = codec_->headFor(*forward.target, forward.tag, datagram);
                       socket_.forward(forward.target->address, head.view(), datagram.substr(head.replaces));
                   },
                   [&](const ResetFlow &flow) { reset(flow); },
                   [&](const DropPacket &) { counters_.add(Counter::PacketsDropped); },
               },
               decision);
    if (router_.nextTimer() <= time) {
        onTimer();
    }
}

void PacketTask::reset(const ResetFlow &reset)
{
    counters_.add(Counter::FlowsReset);
    socket_.send({ reset.flow.caller.ip, callerPort_ }, codec_->encodeReset(reset.flow, reset.sequence));
}

void PacketTask::onTimer()
{
    std::vector<ResetFlow> resets;
    router_.onTimer(now(), resets);
    for (const ResetFlow &flow : resets) {
        reset(flow);
    }
    timer_.armAt(router_.nextTimer());
}

} // namespace poplarroad
