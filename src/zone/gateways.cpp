#include "gateways.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

constexpr std::size_t GatewaysPerZone = 2;
constexpr std::chrono::minutes ForgetAfter{ 10 };
// Each zone adds this much to the interval of the refresh, so a member handles 1.25 refreshes a second at any number
// of zones. Passing on each zone's summary every second cost more than the whole budget of a daemon at 25 zones.
constexpr Milliseconds RefreshPeriodOfZone{ 800 };
constexpr int MissedRefreshes = 3;

/** @return whether the summaries say the same of the zone; the revision is spread by probes and is left out */
bool sameContent(const ZoneSummary &a, const ZoneSummary &b)
{
    return a.reachable == b.reachable && a.liveHosts == b.liveHosts && a.gateways == b.gateways;
}

} // namespace

Gateways::Gateways(ZoneId own, MembershipTiming timing)
    : own_(own)
    , timing_(timing)
{
}

Milliseconds Gateways::refreshPeriod() const
{
    return std::max(timing_.summaryPeriod, RefreshPeriodOfZone * static_cast<std::int64_t>(zones_.size()));
}

Milliseconds Gateways::memberTimeout() const
{
    return timing_.zoneReachabilityTimeout + MissedRefreshes * refreshPeriod();
}

Milliseconds Gateways::judgementMargin() const
{
    return timing_.zoneReachabilityTimeout / 2;
}

void Gateways::take(Entry &entry, const ZoneSummary &summary, TimePoint heardAt)
{
    const Revision known = entry.summary.revision;
    entry.summary = summary;
    entry.summary.ageMs = 0;
    entry.summary.revision = std::max(summary.revision, known);
    entry.heardAt = std::max(entry.heardAt, heardAt);
}

bool Gateways::onSummary(const ZoneSummary &summary, SummarySource source, TimePoint now)
{
    const Milliseconds age{ summary.ageMs };
    if (summary.zone == own_ || age >= ForgetAfter / 2) {
        return false;
    }
    const TimePoint heardAt = now - age;
    const auto [found, isNew] = zones_.try_emplace(summary.zone);
    Entry &entry = found->second;
    if (isNew) {
        take(entry, summary, heardAt);
        entry.passedAt = now;
        return true;
    }
    if (source == SummarySource::OtherZone) {
        return takeFromOtherZone(entry, summary, now);
    }
    return summary.reachable ? takeReachable(entry, summary, heardAt, now) : takeLost(entry, heardAt, now);
}

bool Gateways::takeFromOtherZone(Entry &entry, const ZoneSummary &summary, TimePoint now) const
{
    const bool isNews = !sameContent(entry.summary, summary) || now - entry.passedAt >= refreshPeriod();
    take(entry, summary, now);
    entry.judged = false;
    if (isNews) {
        entry.passedAt = now;
    }
    return isNews;
}

bool Gateways::takeReachable(Entry &entry, const ZoneSummary &summary, TimePoint heardAt, TimePoint now) const
{
    entry.passedAt = now;
    const TimePoint newer = entry.heardAt + (entry.summary.reachable ? Milliseconds(0) : judgementMargin());
    if (heardAt <= newer) {
        return false;
    }
    const bool isNews = !sameContent(entry.summary, summary) || heardAt >= entry.heardAt + refreshPeriod() / 2;
    take(entry, summary, heardAt);
    return isNews;
}

bool Gateways::takeLost(Entry &entry, TimePoint heardAt, TimePoint now) const
{
    if (heardAt + judgementMargin() < entry.heardAt) {
        // A gateway that still hears the zone contradicts one that does not.
        const bool contradicts = entry.gatewaySince && entry.summary.reachable && !isSilent(entry, now);
        entry.passedAt = contradicts ? now : entry.passedAt;
        return contradicts;
    }
    if (!entry.summary.reachable) {
        return false;
    }
    entry.summary.reachable = false;
    entry.heardAt = std::max(entry.heardAt, heardAt);
    entry.passedAt = now;
    return true;
}

bool Gateways::isSilent(const Entry &entry, TimePoint now) const
{
    return now - entry.heardAt >= timing_.zoneReachabilityTimeout;
}

bool Gateways::onTimer(TimePoint now, std::vector<ZoneId> &toPassOn)
{
    bool changed = false;
    for (auto &[zone, entry] : zones_) {
        const bool judges = entry.gatewaySince && !entry.judged && isSilent(entry, now)
            && now - *entry.gatewaySince >= timing_.zoneReachabilityTimeout;
        if (judges) {
            entry.judged = true;
        }
        if (entry.summary.reachable && (judges || now - entry.heardAt >= memberTimeout())) {
            entry.summary.reachable = false;
            changed = true;
            if (judges) {
                entry.passedAt = now;
                toPassOn.push_back(zone);
            }
        }
    }
    const auto forgotten =
        std::erase_if(zones_, [&](const auto &item) { return now - item.second.heardAt > ForgetAfter; });
    return changed || forgotten > 0;
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
    auto next = zones_.upper_bound(repair_);
    if (next == zones_.end()) {
        next = zones_.begin();
    }
    repair_ = next->first;
    return withAge(next->second, now);
}

std::vector<HostAddress> Gateways::gatewaysFor(ZoneId other, const std::vector<HostAddress> &liveHosts) const
{
    const std::uint64_t pair = (static_cast<std::uint64_t>(own_.value) << 32U) | other.value;
    std::vector<HostAddress> chosen(std::min(GatewaysPerZone, liveHosts.size()));
    std::partial_sort_copy(liveHosts.begin(), liveHosts.end(), chosen.begin(), chosen.end(),
                           [pair](const HostAddress &a, const HostAddress &b) {
                               return rendezvousWeight(pair, a.key()) > rendezvousWeight(pair, b.key());
                           });
    return chosen;
}

ZoneSummary Gateways::withAge(const Entry &entry, TimePoint now)
{
    ZoneSummary summary = entry.summary;
    summary.ageMs = static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(now - entry.heardAt).count());
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
