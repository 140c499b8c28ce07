#ifndef POPLARROAD_ZONE_GATEWAYS_H
#define POPLARROAD_ZONE_GATEWAYS_H

#include "poplarroad/membership.h"

#include <map>
#include <optional>
#include <vector>

namespace poplarroad
{

/** Who sent a summary. */
enum class SummarySource : std::uint8_t {
    OtherZone, ///< a gateway of the zone that the summary is about
    OwnZone, ///< a member of this zone that passes it on
};

/**
 * What this balancer knows of the other zones.
 *
 * Each pair of zones has its own two gateways on either side, so the work of many zones spreads over the hosts of a
 * zone. A gateway hears of the other zone each second and judges whether it can be reached. Inside the zone it passes
 * on what changed at once, and the rest at an interval that grows with the number of zones, so the traffic of a member
 * does not. A member follows the judgement of the gateways; its own timeout only covers the loss of all of them.
 */
class Gateways
{
public:
    Gateways(ZoneId own, MembershipTiming timing);

    /**
     * Takes a summary.
     *
     * @return whether the summary that is now known has to be passed on
     */
    bool onSummary(const ZoneSummary &summary, SummarySource source, TimePoint now);
    /**
     * Judges the reachability of the other zones and forgets zones without news for long.
     *
     * @param toForward filled with the zones that this gateway lost
     * @return whether anything changed
     */
    bool onTimer(TimePoint now, std::vector<ZoneId> &toForward);
    /** Notes whether this balancer is a gateway to the other zone. */
    void setGateway(ZoneId other, bool isGateway, TimePoint now);
    /** @return a sum that is equal in balancers that know the same of the other zones, their revisions apart */
    std::uint64_t digest() const;
    /** @return the next known summary in rotation with its age, to repair the knowledge of a peer that differs */
    std::optional<ZoneSummary> nextForRepair(TimePoint now);
    /** @return the two hosts of this zone that exchange summaries with the other zone */
    std::vector<HostAddress> gatewaysFor(ZoneId other, const std::vector<HostAddress> &liveHosts) const;
    /** @return how many other zones are known */
    std::size_t count() const
    {
        return zones_.size();
    }
    std::optional<ZoneSummary> find(ZoneId zone, TimePoint now) const;
    /** @return summaries for the view, without the age, ordered by zone */
    std::vector<ZoneSummary> forView() const;

private:
    struct Entry
    {
        ZoneSummary summary;
        TimePoint lastHeardAt; ///< when the other zone sent the summary, as far as it is known here
        TimePoint forwardedAt; ///< when the summary was last passed on in this zone, here or by another member
        std::optional<TimePoint> gatewaySince; ///< set while this balancer is a gateway to the zone
        bool lossReported = false; ///< this gateway reported the zone lost and has heard nothing from it since
    };
    bool mergeFromOtherZone(Entry &entry, const ZoneSummary &summary, TimePoint now) const;
    bool mergeReachable(Entry &entry, const ZoneSummary &summary, TimePoint lastHeardAt, TimePoint now) const;
    bool mergeUnreachable(Entry &entry, TimePoint lastHeardAt, TimePoint now) const;
    bool isTimedOut(const Entry &entry, TimePoint now) const;
    Milliseconds refreshPeriod() const;
    Milliseconds memberTimeout() const;
    /**
     * The two gateways of a pair hear the other zone at different times, and the way from member to member is not part
     * of an age. A judgement gives way only to news that is newer by this much; with less, members whose news came from
     * the other gateway kept a lost zone until their own timeout.
     */
    Milliseconds reachabilityMargin() const;
    static void store(Entry &entry, const ZoneSummary &summary, TimePoint lastHeardAt);
    static ZoneSummary withAge(const Entry &entry, TimePoint now);

    ZoneId ownZone_;
    MembershipTiming timing_;
    std::map<ZoneId, Entry> zones_;
    ZoneId repairCursor_; ///< sent last by nextForRepair()
};

} // namespace poplarroad

#endif
