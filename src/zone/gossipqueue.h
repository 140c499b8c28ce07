#ifndef POPLARROAD_ZONE_GOSSIPQUEUE_H
#define POPLARROAD_ZONE_GOSSIPQUEUE_H

#include "poplarroad/membership.h"

#include <cstddef>
#include <vector>

namespace poplarroad
{

/** Member updates to piggyback on datagrams: the latest one for each host, sent a limited number of times. */
class GossipQueue
{
public:
    /** Upper bound of the size of an encoded datagram, in bytes. */
    static constexpr std::size_t MaxDatagramSize = 1200;
    /** Bytes of a datagram without updates: envelope, message, PeerAuth header and MAC; PingRequest is the longest. */
    static constexpr std::size_t HeaderSize = 156;
    static constexpr std::size_t UpdateSize = 32; ///< bytes of an encoded update
    static constexpr std::size_t MaxUpdates = (MaxDatagramSize - HeaderSize) / UpdateSize;

    /** Adds an update, replacing any earlier one about the same host. */
    void add(const HostRecord &record);
    /**
     * Appends the updates that were sent least often.
     *
     * @param updates filled up to MaxUpdates
     * @param members number of hosts in the zone; an update is dropped after transmissionLimit() transmissions
     */
    void appendUpdates(std::vector<MemberUpdate> &updates, std::size_t members);
    bool empty() const
    {
        return queue_.empty();
    }
    /** @return how many times an update is sent: about 3 * log2(members) */
    static unsigned transmissionLimit(std::size_t members);

private:
    struct Entry
    {
        HostRecord record;
        unsigned sendCount = 0;
    };
    std::vector<Entry> queue_;
};

} // namespace poplarroad

#endif
