#include "gateways.h"

#include <algorithm>
#include <bit>

namespace poplarroad
{

namespace
{

constexpr std::size_t GatewaysPerZone = 2;
constexpr std::chrono::minutes ZoneExpiry{ 10 };
// Added to the refresh interval for each zone, so that a member handles 1.25 refreshes per second at any number of
// zones. Forwarding every summary each second exceeded the whole budget of a daemon at 25 zones.
constexpr Milliseconds RefreshPeriodPerZone{ 800 };
constexpr int MaxMissedRefreshes = 3; ///< in a row, before a member decides itself that the zone is unreachable

/** @return whether the summaries are equal except for age and revision, which is spread by probes */
bool sameContent(const ZoneSummary &a, const ZoneSummary &b)
{
    return a.reachable == b.reachable && a.liveHosts == b.liveHosts && a.gateways == b.gateways;
}

} // namespace

Gateways::Gateways(ZoneId own, MembershipTiming timing)
    : ownZone_(own)
    , timing_(timing)
{
}

Milliseconds Gateways::refreshPeriod() const
{
    return std::max(timing_.summaryPeriod, RefreshPeriodPerZone * static_cast<std::int64_t>(zones_.size()));
}

Milliseconds Gateways::memberTimeout() const
{
    return timing_.zoneReachabilityTimeout + MaxMissedRefreshes * refreshPeriod();
}

Milliseconds Gateways::reachabilityMargin() const
{
    return timing_.zoneReachabilityTimeout / 2;
}

void Gateways::store(Entry &entry, const ZoneSummary &summary, TimePoint lastHeardAt)
{
    const Revision known = entry.summary.revision;
    entry.summary = summary;
    entry.summary.ageMs = 0;
    entry.summary.revision = std::max(summary.revision, known);
    entry.lastHeardAt = std::max(entry.lastHeardAt, lastHeardAt);
}

bool Gateways::onSummary(const ZoneSummary &summary, SummarySource source, TimePoint now)
{
    const Milliseconds age{ summary.ageMs };
    if (summary.zone == ownZone_ || age >= ZoneExpiry / 2) {
        return false;
    }
    const TimePoint lastHeardAt = now - age;
    const auto [found, isNew] = zones_.try_emplace(summary.zone);
    Entry &entry = found->second;
    if (isNew) {
        store(entry, summary, lastHeardAt);
        entry.forwardedAt = now;
        return true;
    }
    if (source == SummarySource::OtherZone) {
        return mergeFromOtherZone(entry, summary, now);
    }
    return summary.reachable ? mergeReachable(entry, summary, lastHeardAt, now)
                             : mergeUnreachable(entry, lastHeardAt, now);
}

bool Gateways::mergeFromOtherZone(Entry &entry, const ZoneSummary &summary, TimePoint now) const
{
    const bool mustForward = !sameContent(entry.summary, summary) || now - entry.forwardedAt >= refreshPeriod();
    store(entry, summary, now);
    entry.lossReported = false;
    if (mustForward) {
        entry.forwardedAt = now;
    }
    return mustForward;
}

bool Gateways::mergeReachable(Entry &entry, const ZoneSummary &summary, TimePoint lastHeardAt, TimePoint now) const
{
    entry.forwardedAt = now;
    const TimePoint overrideThreshold =
        entry.lastHeardAt + (entry.summary.reachable ? Milliseconds(0) : reachabilityMargin());
    if (lastHeardAt <= overrideThreshold) {
        return false;
    }
    const bool mustForward =
        !sameContent(entry.summary, summary) || lastHeardAt >= entry.lastHeardAt + refreshPeriod() / 2;
    store(entry, summary, lastHeardAt);
    return mustForward;
}

bool Gateways::mergeUnreachable(Entry &entry, TimePoint lastHeardAt, TimePoint now) const
{
    if (lastHeardAt + reachabilityMargin() < entry.lastHeardAt) {
        // A gateway that still receives summaries of the zone overrides one that does not.
        const bool contradicts = entry.gatewaySince && entry.summary.reachable && !isTimedOut(entry, now);
        entry.forwardedAt = contradicts ? now : entry.forwardedAt;
        return contradicts;
    }
    if (!entry.summary.reachable) {
        return false;
    }
    entry.summary.reachable = false;
    entry.lastHeardAt = std::max(entry.lastHeardAt, lastHeardAt);
    entry.forwardedAt = now;
    return true;
}

bool Gateways::isTimedOut(const Entry &entry, TimePoint now) const
{
    return now - entry.lastHeardAt >= timing_.zoneReachabilityTimeout;
}

bool Gateways::onTimer(TimePoint now, std::vector<ZoneId> &toForward)
{
    bool changed = false;
    for (auto &[zone, entry] : zones_) {
        const bool detectsLoss = entry.gatewaySince && !entry.lossReported && isTimedOut(entry, now)
            && now - *entry.gatewaySince >= timing_.zoneReachabilityTimeout;
        if (detectsLoss) {
            entry.lossReported = true;
        }
        if (entry.summary.reachable && (detectsLoss || now - entry.lastHeardAt >= memberTimeout())) {
            entry.summary.reachable = false;
            changed = true;
            if (detectsLoss) {
                entry.forwardedAt = now;
                toForward.push_back(zone);
            }
        }
    }
    const auto expired =
        std::erase_if(zones_, [&](const auto &item) { return now - item.second.lastHeardAt > ZoneExpiry; });
    return changed || expired > 0;
}

void Gateways::setGateway(ZoneId other, bool isGateway, TimePoint now)
{
    const auto found = zones_.find(other);
    if (found == zones_.end()) {
        return;
    }
    std::optional<TimePoint> &since = found->second.gatewaySince;
    since = isGateway ? std::optional(since.value_or(now)) : std::nullopt;
}

std::uint64_t Gateways::digest() const
{
    std::uint64_t sum = 0;
    for (const auto &[zone, entry] : zones_) {
        std::uint64_t key = rendezvousWeight(zone.value, entry.summary.liveHosts * 2ULL + entry.summary.reachable);
        for (const HostAddress &gateway : entry.summary.gateways) {
            key = rendezvousWeight(key, gateway.key());
        }
        sum += key;
    }
    return sum;
}

std::optional<ZoneSummary> Gateways::nextForRepair(TimePoint now)
{
    if (zones_.empty()) {
        return std::nullopt;
    }
    auto next = zones_.upper_bound(repairCursor_);
    if (next == zones_.end()) {
        next = zones_.begin();
    }
    repairCursor_ = next->first;
    return withAge(next->second, now);
}

std::vector<HostAddress> Gateways::gatewaysFor(ZoneId other, const std::vector<HostRecord> &liveHosts) const
{
    const std::uint64_t pair = (static_cast<std::uint64_t>(ownZone_.value) << 32U) | other.value;
    const auto preference = [pair](const HostRecord &host) {
        return std::pair(std::bit_width(host.rank), rendezvousWeight(pair, host.address.key()));
    };
    std::vector<HostRecord> chosen(std::min(GatewaysPerZone, liveHosts.size()));
    std::partial_sort_copy(liveHosts.begin(), liveHosts.end(), chosen.begin(), chosen.end(),
                           [&](const HostRecord &a, const HostRecord &b) { return preference(a) > preference(b); });
    std::vector<HostAddress> addresses;
    std::transform(chosen.begin(), chosen.end(), std::back_inserter(addresses),
                   [](const HostRecord &host) { return host.address; });
    return addresses;
}

ZoneSummary Gateways::withAge(const Entry &entry, TimePoint now)
{
    ZoneSummary summary = entry.summary;
    summary.ageMs =
        static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(now - entry.lastHeardAt).count());
    return summary;
}

std::optional<ZoneSummary> Gateways::find(ZoneId zone, TimePoint now) const
{
    const auto found = zones_.find(zone);
    if (found == zones_.end()) {
        return std::nullopt;
    }
    return withAge(found->second, now);
}

std::vector<ZoneSummary> Gateways::forView() const
{
    std::vector<ZoneSummary> all;
    for (const auto &[zone, entry] : zones_) {
        all.push_back(entry.summary);
    }
    return all;
}

} // namespace poplarroad
