#ifndef POPLARROAD_TESTS_DISPATCHERLOAD_H
#define POPLARROAD_TESTS_DISPATCHERLOAD_H

#include "dispatchersimulation.h"

#include <algorithm>

namespace poplarroad
{

/** Drives a dispatcher with requests that its targets answer at once. */
class DispatcherLoad
{
public:
    /** @param payloadBytes payload length of each request and answer, in bytes */
    explicit DispatcherLoad(std::size_t payloadBytes = 200)
        : dispatcher_(TestPool, 1)
        , payloadBytes_(payloadBytes)
    {
        DispatchActions actions;
        dispatcher_.setConfiguration(std::make_shared<Configuration>(makeTestConfiguration(TargetsPerPool)), now_,
                                     actions);
        dispatcher_.setView(makeView(ingress(), 1, { ingress() }), now_, actions);
    }
    /**
     * Sends a request and, unless it stays open, answers it at its target.
     *
     * @return whether it reached a target
     */
    bool request(KindId kind, std::uint64_t flow, std::uint64_t sequence, bool staysOpen = false)
    {
        RequestMessage message = makeRequest(kind, flow, sequence);
        message.payload = std::string(payloadBytes_, 'x');
        DispatchActions actions;
        dispatcher_.onCallerMessage(std::move(message), { ingress(), flow }, now_, actions);
        DispatchActions results;
        bool ran = false;
        for (const DispatchAction &action : actions) {
            if (const auto *run = std::get_if<RunAtTarget>(&action)) {
                ran = true;
                if (!staysOpen) {
                    TargetResult result{ run->target, run->request.id };
                    result.payload = std::string(payloadBytes_, 'y');
                    dispatcher_.onTargetEvent(std::move(result), now_, results);
                }
            }
        }
        return ran;
    }
    void advance(std::chrono::nanoseconds time)
    {
        now_ += std::chrono::duration_cast<TimePoint::duration>(time);
        while (dispatcher_.nextTimer() <= now_) {
            DispatchActions actions;
            dispatcher_.onTimer(now_, actions);
        }
    }
    std::uint64_t flows() const
    {
        return dispatcher_.status(now_).flows;
    }

    /** Opens flows: the last 40,000 at 2,000 per second, the others spread over the 60 s before. */
    void openFlows(std::size_t flows)
    {
        using namespace std::chrono_literals;
        constexpr std::size_t finalFlows = 40000;
        const std::size_t before = flows - std::min(flows, finalFlows);
        for (std::uint64_t flow = 1; flow <= before; ++flow) {
            request(ListKind, flow, 1);
            advance(std::chrono::nanoseconds(60s) / static_cast<std::int64_t>(before));
        }
        for (std::uint64_t flow = before + 1; flow <= flows; ++flow) {
            request(ListKind, flow, 1);
            advance(500us);
        }
    }

private:
    static constexpr std::size_t TargetsPerPool = 64; // size of the largest partition of a pool

    static HostAddress ingress()
    {
        return { 1, 1 };
    }

    Dispatcher dispatcher_;
    std::size_t payloadBytes_;
    TimePoint now_ = TimePoint{} + std::chrono::seconds(1000);
};

} // namespace poplarroad

#endif
