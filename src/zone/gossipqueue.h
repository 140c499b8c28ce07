#ifndef POPLARROAD_ZONE_GOSSIPQUEUE_H
#define POPLARROAD_ZONE_GOSSIPQUEUE_H

#include "poplarroad/membership.h"

#include <cstddef>
#include <vector>

namespace poplarroad
{

/** News that still has to be passed on: one update for each host, each sent a bounded number of times. */
class GossipQueue
{
public:
    /** Encoded sizes that keep a datagram within 1,200 bytes. */
    static constexpr std::size_t DatagramSize = 1200;
    /** Envelope, probe, header and MAC of PeerAuth; a PingRequest, the longest kind, has 156 bytes. */
    static constexpr std::size_t HeaderSize = 156;
    static constexpr std::size_t UpdateSize = 32;
    static constexpr std::size_t MaxUpdates = (DatagramSize - HeaderSize) / UpdateSize;

    /** Adds news, in place of older news about the same host. */
    void add(const HostRecord &record);
    /**
     * Appends the news that was sent least often.
     *
     * @param updates filled up to MaxUpdates
     * @param members hosts in the zone; each update is taken 3 * log2(members) times, then dropped
     */
    void appendUpdates(std::vector<MemberUpdate> &updates, std::size_t members);
    bool empty() const
    {
        return queue_.empty();
    }
    /** @return how often news is sent in a zone of that many hosts */
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
