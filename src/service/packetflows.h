#ifndef POPLARROAD_SERVICE_PACKETFLOWS_H
#define POPLARROAD_SERVICE_PACKETFLOWS_H

#include "poplarroad/directory.h"
#include "poplarroad/packet.h"
#include "target/answertrace.h"
#include "target/targettable.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace poplarroad
{

/** State of one flow as its caller's packets show it; incomplete when other balancers forwarded some of them. */
struct PacketFlow
{
    TargetIndex target;
    std::uint32_t sent = 0; ///< next sequence number of the caller: the one after the last byte that it sent
    std::uint32_t acknowledged = 0; ///< last acknowledgement number of the caller
    TimePoint openedAt; ///< first packet of the flow at this balancer
    TimePoint lastPacket;
    TimePoint waitingSince; ///< when the caller sent the unanswered data; valid only while busy
    RequestKind kind = RequestKind::Idempotent;
    bool established = false; ///< the caller has completed the handshake
    bool busy = false; ///< the caller waits for an answer
    AnswerTrace trace; ///< of the answer to the last request
};

/** The flows that this balancer forwards; keeps the flow counts of their targets up to date. */
class PacketFlows
{
public:
    explicit PacketFlows(TargetTable &targets)
        : targets_(targets)
    {
    }

    /** @return the flow or nullptr; the pointer is valid until a flow is added or removed */
    PacketFlow *find(const FlowKey &key);
    /** Adds a flow and replaces an earlier one with the same key. */
    PacketFlow &add(const FlowKey &key, TargetIndex target, RequestKind kind, TimePoint now);
    void remove(const FlowKey &key);
    /** Assigns a flow in the handshake to another target. */
    void reassign(PacketFlow &flow, TargetIndex target);
    /** Marks whether the caller waits for an answer; `true` restarts the waiting time. */
    void setBusy(PacketFlow &flow, bool busy, TimePoint now);
    /** Removes the flows without a packet since `before`. */
    void expire(TimePoint before);
    /**
     * Ends the waits of callers that gave up without a packet, so that they do not count as work of their targets.
     *
     * @param services have the deadlines of the requests
     */
    void endAbandonedWaits(const ServiceMap &services, TimePoint now);
    /** Appends the keys of the flows at a target. */
    void appendKeys(TargetIndex target, std::vector<FlowKey> &keys) const;
    std::size_t size() const
    {
        return flows_.size();
    }

private:
    /** Subtracts the flow from the counts of its target. */
    void removeFromCounts(const PacketFlow &flow);

    TargetTable &targets_;
    absl::flat_hash_map<FlowKey, PacketFlow> flows_;
};

} // namespace poplarroad

#endif
