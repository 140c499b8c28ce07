#ifndef POPLARROAD_SERVICE_PACKETFLOWS_H
#define POPLARROAD_SERVICE_PACKETFLOWS_H

#include "poplarroad/directory.h"
#include "poplarroad/packet.h"
#include "target/targettable.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace poplarroad
{

/** What the packets of a caller reveal of one flow. Only a hint: another balancer may have seen a part of them. */
struct PacketFlow
{
    TargetIndex target;
    std::uint32_t sent = 0; ///< sequence number after the last byte that the caller sent
    std::uint32_t acknowledged = 0; ///< last acknowledgement of the caller
    TimePoint openedAt;
    TimePoint lastPacket;
    TimePoint waitingSince; ///< when the caller sent what is not answered; only while busy
    RequestKind kind = RequestKind::Idempotent;
    bool established = false; ///< the caller has completed the handshake
    bool busy = false; ///< the caller waits for an answer
};

/** The flows that this balancer forwards, with the counts at their targets. */
class PacketFlows
{
public:
    explicit PacketFlows(TargetTable &targets)
        : targets_(targets)
    {
    }

    /** @return the flow, or nullptr; valid until the next change of the table */
    PacketFlow *find(const FlowKey &key);
    /** Adds a flow, in place of an earlier one with the same key. */
    PacketFlow &add(const FlowKey &key, TargetIndex target, RequestKind kind, TimePoint now);
    void remove(const FlowKey &key);
    /** Moves an opening flow to another target. */
    void reassign(PacketFlow &flow, TargetIndex target);
    void setBusy(PacketFlow &flow, bool busy, TimePoint now);
    /** Drops the flows without a packet since `before`. */
    void expire(TimePoint before);
    /** Appends the keys of the flows at a target. */
    void appendKeys(TargetIndex target, std::vector<FlowKey> &keys) const;
    std::size_t size() const
    {
        return flows_.size();
    }

private:
    void removeFromCounts(const PacketFlow &flow);

    TargetTable &targets_;
    absl::flat_hash_map<FlowKey, PacketFlow> flows_;
};

} // namespace poplarroad

#endif
