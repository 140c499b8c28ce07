#include "zonechooser.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace poplarroad
{

namespace
{

/** Largest change of a weight per second; faster changes would shift the load of all ingresses at once. */
constexpr double WeightChangePerSecond = 0.25;
/** Interval between updates of the weights, so that they are not recalculated for each message. */
constexpr Milliseconds WeightUpdatePeriod{ 50 };
/** Older reports count as no saturation, since an idle pool sends none. */
constexpr Milliseconds MaxReportAge{ 3000 };
constexpr double FullSaturation = 1.0; ///< queued and running requests have reached the pool's limit, see PoolReport
constexpr double SaturationPerCost = 0.05; ///< added to the spill threshold for each unit of link cost
constexpr double SaturationPerDelayMs = 0.005; ///< added to the spill threshold for each millisecond of link delay
/** Difference of saturation below which weights are not changed, to avoid oscillation. */
constexpr double SaturationHysteresis = 0.1;
/** Fraction of the base weight that a saturated zone keeps, so that its reports still arrive. */
constexpr double MinBaseFraction = 0.1;
constexpr double AdjustmentDecayPerSecond = 0.05; ///< decrease of an adjustment that no saturation justifies

double stepTowards(double from, double to, double step)
{
    return from + std::clamp(to - from, -step, step);
}

} // namespace

void ZoneChooser::setConfiguration(ConfigurationPtr configuration)
{
    configuration_ = std::move(configuration);
    markStale();
}

void ZoneChooser::setView(std::shared_ptr<const FleetView> view)
{
    view_ = std::move(view);
    markStale();
}

void ZoneChooser::markStale()
{
    for (auto &[service, state] : services_) {
        state.stale = true;
    }
}

void ZoneChooser::onPoolReport(const PoolReport &report, TimePoint now)
{
    if (configuration_ && !configuration_->targetsOf(report.pool).empty()) {
        saturations_[report.pool] = { report.saturation, now };
    }
}

std::uint32_t ZoneChooser::liveHosts(ZoneId zone) const
{
    if (zone == view_->zone) {
        return static_cast<std::uint32_t>(
            std::count_if(view_->hosts.begin(), view_->hosts.end(), &FleetView::acceptsNewWork));
    }
    const ZoneSummary *summary = view_->findZone(zone);
    return summary && summary->reachable && !summary->gateways.empty() ? summary->liveHosts : 0;
}

bool ZoneChooser::isUsable(const PoolId &pool) const
{
    return configuration_ && view_ && configuration_->slotsOf(pool) > 0 && liveHosts(pool.zone) > 0;
}

double ZoneChooser::weightOf(const PoolId &pool) const
{
    const auto found = services_.find(pool.service);
    if (found != services_.end()) {
        for (const Share &share : found->second.shares) {
            if (share.zone == pool.zone) {
                return share.weight;
            }
        }
    }
    return 0.0;
}

double ZoneChooser::saturationOf(const PoolId &pool, TimePoint now) const
{
    const auto found = saturations_.find(pool);
    return found == saturations_.end() || now - found->second.at > MaxReportAge ? 0.0 : found->second.value;
}

double ZoneChooser::spillThreshold(ZoneId zone) const
{
    const Link *link = configuration_->findLink(view_->zone, zone);
    if (!link) {
        return FullSaturation + SaturationPerCost;
    }
    const double delayMs = std::chrono::duration<double, std::milli>(link->delay).count();
    return FullSaturation + SaturationPerCost * link->cost + SaturationPerDelayMs * delayMs;
}

std::vector<ZoneChooser::Share> ZoneChooser::computeShares(ServiceId service) const
{
    std::vector<Share> shares;
    double hosts = liveHosts(view_->zone);
    for (const ZoneSummary &summary : view_->otherZones) {
        hosts += liveHosts(summary.zone);
    }
    double slots = 0.0;
    for (const ZoneId zone : configuration_->zonesOf(service)) {
        const PoolId pool{ service, zone };
        if (isUsable(pool)) {
            const double capacity = configuration_->slotsOf(pool);
            slots += capacity;
            shares.push_back({ zone, capacity, liveHosts(zone) / hosts, 0.0, 0.0, 0.0 });
        }
    }
    for (Share &share : shares) {
        share.capacity /= slots;
    }
    std::stable_partition(shares.begin(), shares.end(), [&](const Share &share) { return share.zone == view_->zone; });
    setBaseWeights(shares);
    return shares;
}

void ZoneChooser::setBaseWeights(std::vector<Share> &shares) const
{
    double kept = 0.0;
    double deficits = 0.0;
    for (Share &share : shares) {
        if (share.zone == view_->zone) {
            kept = std::min(1.0, share.arrivals > 0.0 ? share.capacity / share.arrivals : 1.0);
            share.base = kept;
        } else {
            share.base = std::max(0.0, share.capacity - share.arrivals);
            deficits += share.base;
        }
    }
    for (Share &share : shares) {
        if (share.zone != view_->zone) {
            share.base = deficits > 0.0 ? share.base / deficits * (1.0 - kept) : 0.0;
        }
    }
}

void ZoneChooser::rebuild(ServiceId service, ServiceShares &state, TimePoint now)
{
    std::vector<Share> shares = computeShares(service);
    double carriedWeight = 0.0;
    for (Share &share : shares) {
        for (const Share &old : state.shares) {
            if (old.zone == share.zone) {
                share.adjustment = old.adjustment;
                share.weight = old.weight;
                carriedWeight += old.weight;
            }
        }
    }
    for (Share &share : shares) {
        share.weight = carriedWeight > 0.0 ? share.weight / carriedWeight : share.base;
    }
    if (state.shares.empty()) {
        state.updatedAt = now;
    }
    state.shares = std::move(shares);
    state.stale = false;
}

double ZoneChooser::nextAdjustment(const Share &share, double own, double other, double seconds) const
{
    const double step = WeightChangePerSecond * seconds;
    const double threshold = spillThreshold(share.zone);
    if (own > threshold && other < FullSaturation) {
        return share.adjustment + step * std::min({ 1.0, own - threshold, FullSaturation - other });
    }
    if (other > FullSaturation && other > own + SaturationHysteresis) {
        const double smallest = -share.base * (1.0 - MinBaseFraction);
        return std::max(smallest, share.adjustment - step * std::min(1.0, other - own));
    }
    if (share.adjustment > 0.0 && own > threshold - SaturationHysteresis && other < FullSaturation) {
        return share.adjustment;
    }
    return stepTowards(share.adjustment, 0.0, AdjustmentDecayPerSecond * seconds);
}

void ZoneChooser::updateWeights(ServiceId service, ServiceShares &state, TimePoint now)
{
    // After an idle time the step is limited to one second, so that the weights do not jump.
    const double seconds = std::min(1.0, std::chrono::duration<double>(now - state.updatedAt).count());
    state.updatedAt = now;
    const bool ownUsable = !state.shares.empty() && state.shares.front().zone == view_->zone;
    if (!ownUsable) {
        for (Share &share : state.shares) {
            share.weight = stepTowards(share.weight, share.base, WeightChangePerSecond * seconds);
        }
        return;
    }
    const double own = saturationOf({ service, view_->zone }, now);
    double spilled = 0.0;
    for (Share &share : state.shares) {
        if (share.zone != view_->zone) {
            share.adjustment = nextAdjustment(share, own, saturationOf({ service, share.zone }, now), seconds);
            spilled += share.base + share.adjustment;
        }
    }
    const double scale = spilled > 1.0 ? 1.0 / spilled : 1.0;
    const double step = WeightChangePerSecond * seconds;
    for (Share &share : state.shares) {
        const bool isOwn = share.zone == view_->zone;
        const double wanted = isOwn ? 1.0 - spilled * scale : (share.base + share.adjustment) * scale;
        share.weight = stepTowards(share.weight, wanted, step);
    }
}

std::optional<ZoneId> ZoneChooser::choose(ServiceId service, double unit, TimePoint now)
{
    if (!configuration_ || !view_ || !configuration_->findService(service)) {
        return std::nullopt;
    }
    ServiceShares &state = services_[service];
    if (state.stale) {
        rebuild(service, state, now);
    }
    if (now - state.updatedAt >= WeightUpdatePeriod) {
        updateWeights(service, state, now);
    }
    double total = 0.0;
    for (const Share &share : state.shares) {
        total += share.weight;
    }
    double left = unit * total;
    const Share *chosen = nullptr;
    for (const Share &share : state.shares) {
        if (share.weight > 0.0) {
            chosen = &share;
            left -= share.weight;
            if (left < 0.0) {
                break;
            }
        }
    }
    return chosen ? std::optional(chosen->zone) : std::nullopt;
}

std::optional<ZoneId> ZoneChooser::chooseByHash(ServiceId service, FlowId flow) const
{
    if (!configuration_ || !view_) {
        return std::nullopt;
    }
    std::optional<ZoneId> best;
    double bestScore = 0.0;
    for (const ZoneId zone : configuration_->zonesOf(service)) {
        const PoolId pool{ service, zone };
        if (!isUsable(pool)) {
            continue;
        }
        const double unit = (static_cast<double>(rendezvousWeight(flow.value, pool.key()) >> 11) + 0.5) * 0x1p-53;
        const double score = static_cast<double>(configuration_->slotsOf(pool)) / -std::log(unit);
        if (!best || score > bestScore) {
            best = zone;
            bestScore = score;
        }
    }
    return best;
}

std::vector<std::string> ZoneChooser::explain(ServiceId service) const
{
    std::vector<std::string> lines;
    const auto found = services_.find(service);
    if (found == services_.end() || !configuration_ || !view_) {
        return lines;
    }
    for (const ZoneId zone : configuration_->zonesOf(service)) {
        const Zone *declared = configuration_->findZone(zone);
        const std::string name = declared ? declared->name : std::to_string(zone.value);
        if (!isUsable({ service, zone })) {
            lines.push_back("zone " + name + ": no new flows, "
                            + (liveHosts(zone) > 0 ? "no active targets" : "unreachable"));
        }
        for (const Share &share : found->second.shares) {
            if (share.zone == zone) {
                char text[160];
                std::snprintf(text, sizeof(text),
                              ": weight %.3f, capacity share %.3f, host share %.3f, saturation adjustment %+.3f",
                              share.weight, share.capacity, share.arrivals, share.adjustment);
                lines.push_back("zone " + name + text);
            }
        }
    }
    return lines;
}

} // namespace poplarroad
