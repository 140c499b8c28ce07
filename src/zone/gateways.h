#ifndef POPLARROAD_ZONE_GATEWAYS_H
#define POPLARROAD_ZONE_GATEWAYS_H

#include "poplarroad/membership.h"

#include <map>
#include <optional>
#include <vector>

namespace poplarroad
{

/** Sender of a summary. */
enum class SummarySource : std::uint8_t {
    OtherZone, ///< a gateway of the zone that the summary describes
    OwnZone, ///< a member of this zone that forwards the summary
};

/**
 * State of the other zones as known to this balancer.
 *
 * Each pair of zones has two gateways on either side, so that the work for many zones is spread over the hosts of a
 * zone. A gateway receives a summary of the other zone every MembershipTiming::summaryPeriod and decides whether that
 * zone is reachable. It forwards changes inside its own zone at once and unchanged summaries at an interval that grows
 * with the number of zones, which keeps the traffic of a member constant. The other members follow the decision of the
 * gateways; their own longer timeout only covers the loss of both gateways.
 */
class Gateways
{
public:
    Gateways(ZoneId own, MembershipTiming timing);

    /**
     * Merges a received summary.
     *
     * @return whether the merged summary has to be forwarded inside the zone
     */
    bool onSummary(const ZoneSummary &summary, SummarySource source, TimePoint now);
    /**
     * Updates the reachability of the other zones and removes zones that have not been heard of for 10 minutes.
     *
     * @param toForward filled with the zones that became unreachable for this gateway
     * @return whether anything changed
     */
    bool onTimer(TimePoint now, std::vector<ZoneId> &toForward);
    /** Sets whether this balancer is a gateway to the other zone. */
    void setGateway(ZoneId other, bool isGateway, TimePoint now);
    /** @return a digest of the other zones without their revisions; equal in balancers with equal knowledge */
    std::uint64_t digest() const;
    /** @return the next summary in rotation with its age, to be sent to a peer whose digest differs */
    std::optional<ZoneSummary> nextForRepair(TimePoint now);
    /**
     * Hosts whose ranks differ by less than a factor of two count as equal, so that the work for many zones is spread.
     *
     * @return the gateways to the other zone: up to two hosts of this zone, of those with the highest rank the ones
     *     chosen by rendezvous hashing
     */
    std::vector<HostAddress> gatewaysFor(ZoneId other, const std::vector<HostRecord> &liveHosts) const;
    /** @return the number of known other zones */
    std::size_t count() const
    {
        return zones_.size();
    }
    std::optional<ZoneSummary> find(ZoneId zone, TimePoint now) const;
    /** @return summaries for the FleetView, without their age, ordered by zone */
    std::vector<ZoneSummary> forView() const;

private:
    struct Entry
    {
        ZoneSummary summary;
        TimePoint lastHeardAt; ///< latest known time at which the other zone sent a summary
        TimePoint forwardedAt; ///< when this or another member last forwarded the summary inside this zone
        std::optional<TimePoint> gatewaySince; ///< set while this balancer is a gateway to the zone
        bool lossReported = false; ///< this gateway reported the zone as unreachable and has received no summary since
    };
    bool mergeFromOtherZone(Entry &entry, const ZoneSummary &summary, TimePoint now) const;
    bool mergeReachable(Entry &entry, const ZoneSummary &summary, TimePoint lastHeardAt, TimePoint now) const;
    bool mergeUnreachable(Entry &entry, TimePoint lastHeardAt, TimePoint now) const;
    bool isTimedOut(const Entry &entry, TimePoint now) const;
    Milliseconds refreshPeriod() const;
    Milliseconds memberTimeout() const;
    /**
     * Margin by which a summary has to be newer to override a reachability decision. The two gateways hear the other
     * zone at different times, and an age leaves out the delay of forwarding. With less margin, members that got their
     * summaries from the other gateway kept an unreachable zone until their own timeout.
     */
    Milliseconds reachabilityMargin() const;
    static void store(Entry &entry, const ZoneSummary &summary, TimePoint lastHeardAt);
    static ZoneSummary withAge(const Entry &entry, TimePoint now);

    ZoneId ownZone_;
    MembershipTiming timing_;
    std::map<ZoneId, Entry> zones_;
    ZoneId repairCursor_; ///< zone that nextForRepair() returned last
};

} // namespace poplarroad

#endif
