#include "costrankedadmission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace poplarroad
{

namespace
{

/** Value of an answer relative to one that is a step less urgent. */
constexpr double UrgencyStepValue = 2.0;
/** Fraction of the admitted work that each route gets under pressure, whatever its rank. */
constexpr double MinimumShare = 0.1;
/**
 * A route goes before another one if its value per work is larger by this factor. The mean of 50 requests whose work varies
 * by half of its mean varies by 7%; balancers would rank routes of equal value differently.
 */
constexpr double MinAdvantage = 1.1;
/** Sum of the minimum shares of all routes at most; with ten routes of a tenth each no route could be refused. */
constexpr double MaxMinimumShares = 0.5;
/** A route with fewer recent requests, weighted as in RouteWork, does not compete: 0.05 is one request 3 s ago. */
constexpr double MinRecentRequests = 0.05;
/** Callers send an opening packet again 200 and 600 ms after the first time. */
constexpr std::array CopyDelays{ Milliseconds(0), Milliseconds(200), Milliseconds(600) };
/** Callers retry twice, so their third attempt is the last one. */
constexpr std::uint32_t LastAttempt = RefusedCallers::MaxAttempts;

/** Level of pressure from which flows are refused at once: their next copies would be refused too. */
constexpr double MaxDeferLevel = 0.8;

/** @return time from the first copy of an opening packet to this one */
Milliseconds delayOfCopy(std::uint32_t copy)
{
    return CopyDelays[std::min<std::size_t>(copy, CopyDelays.size() - 1)];
}

double valueOf(Urgency urgency)
{
    return std::pow(UrgencyStepValue, static_cast<double>(urgency));
}

} // namespace

CostRankedAdmission::CostRankedAdmission(double jitter)
    : pressure_(jitter)
{
}

std::optional<AdmissionRefusal> CostRankedAdmission::decide(const ServiceRoute &route, const NewFlow &flow,
                                                            const ServiceLoad &load, TimePoint now)
{
    // The attempt began with its first copy, which may have been deferred.
    const RefusedCallers::Attempt attempt =
        refused_.attemptOf(flow.callerIp, route.address, now - delayOfCopy(flow.copy));
    if (attempt.number == 1) {
        lastAttempts_.onRequest(now);
    }
    const auto refusal = refusalOf(route, flow, load, attempt, now);
    if (refusal && *refusal != AdmissionRefusal::Deferred) {
        refused_.onRefused(flow.callerIp, route.address, attempt, now);
    } else if (!refusal) {
        refused_.onAdmitted(flow.callerIp, route.address);
    }
    return refusal;
}

std::optional<AdmissionRefusal> CostRankedAdmission::refusalOf(const ServiceRoute &route, const NewFlow &flow,
                                                               const ServiceLoad &load,
                                                               const RefusedCallers::Attempt &attempt, TimePoint now)
{
    // Reports are some 100 ms old, and the less valuable routes make room meanwhile; a target that is still full sheds the
    // request, which has not run then either.
    const bool mayFindRoom = goesFirst(route.address, now)
        && expectedAnswerMs(route, load) <= static_cast<double>(route.latencyGoal.count());
    if (load.selected >= PressureEstimate::RoomPerSlot && !mayFindRoom) {
        return AdmissionRefusal::Full;
    }
    const auto elapsedMs = static_cast<double>((delayOfCopy(flow.copy) + attempt.elapsed).count());
    if (elapsedMs + expectedAnswerMs(route, load) > static_cast<double>(route.deadline.count())) {
        return AdmissionRefusal::Deadline;
    }
    // The pressure is that of the own zone, so it says nothing about a free slot in another one.
    const bool hasRoomElsewhere = load.elsewhere && load.selected < 1.0;
    if (hasRoomElsewhere || !isOutranked(route.address, flow.randomUnit, now)) {
        return std::nullopt;
    }
    if (attempt.number == LastAttempt && lastAttempts_.tryConsume(now)) {
        return std::nullopt;
    }
    if (mayDefer(route, flow, load, attempt)) {
        return AdmissionRefusal::Deferred;
    }
    return attempt.number == LastAttempt ? AdmissionRefusal::RetryBudget : AdmissionRefusal::Rank;
}

double CostRankedAdmission::expectedAnswerMs(const ServiceRoute &route, const ServiceLoad &load) const
{
    const auto state = routes_.find(route.address);
    const double workMs = state == routes_.end() ? RouteWork().expectedMs() : state->second.work.expectedMs();
    // Of the requests at the target, one per slot runs; each of the others takes its turn before this one.
    return workMs * std::max(1.0, load.selected);
}

bool CostRankedAdmission::mayDefer(const ServiceRoute &route, const NewFlow &flow, const ServiceLoad &load,
                                   const RefusedCallers::Attempt &attempt) const
{
    if (flow.copy > 0 || pressure_.level() >= MaxDeferLevel) {
        return false;
    }
    const auto elapsedMs = static_cast<double>((delayOfCopy(1) + attempt.elapsed).count());
    return elapsedMs + expectedAnswerMs(route, load) <= static_cast<double>(route.latencyGoal.count());
}

CostRankedAdmission::Competitors CostRankedAdmission::competitorsOf(const RouteState &self, TimePoint now) const
{
    const auto valuePerWork = [](const RouteState &state) {
        return state.value / std::max(state.work.expectedMs(), 1.0);
    };
    Competitors competitors;
    for (const auto &[address, state] : routes_) {
        const double admittedMs = state.work.admittedMs(now);
        competitors.admittedMs += admittedMs;
        const double ratio = valuePerWork(state) / valuePerWork(self);
        const bool competes = state.work.isKnown() && admittedMs >= MinRecentRequests * state.work.expectedMs();
        competitors.better += competes && ratio >= MinAdvantage ? 1.0 : 0.0;
        competitors.worse += competes && ratio <= 1.0 / MinAdvantage ? 1.0 : 0.0;
    }
    return competitors;
}

bool CostRankedAdmission::goesFirst(const HostAddress &route, TimePoint now) const
{
    const auto self = routes_.find(route);
    if (pressure_.state() == Pressure::None || self == routes_.end()) {
        return false;
    }
    const Competitors competitors = competitorsOf(self->second, now);
    return competitors.better == 0.0 && competitors.worse > 0.0;
}

bool CostRankedAdmission::isOutranked(const HostAddress &route, double randomUnit, TimePoint now) const
{
    const auto self = routes_.find(route);
    if (pressure_.state() == Pressure::None || self == routes_.end()) {
        return false;
    }
    const Competitors competitors = competitorsOf(self->second, now);
    const double share = std::min(MinimumShare, MaxMinimumShares / static_cast<double>(routes_.size()));
    if (competitors.better == 0.0 || self->second.work.admittedMs(now) < share * competitors.admittedMs) {
        return false;
    }
    // The range of the pressure is divided among the outranked routes; that with the least value is refused first.
    return pressure_.level() * (competitors.better + competitors.worse) - competitors.worse > randomUnit;
}

void CostRankedAdmission::onAnswer(const HostAddress &route, TimePoint::duration latency, double requestsPerSlot)
{
    const auto state = routes_.find(route);
    if (state != routes_.end()) {
        // Under pressure the answers include waits that the reports do not show yet, and refusals by targets.
        const bool ranAtOnce = requestsPerSlot <= 1.0 && pressure_.state() == Pressure::None;
        state->second.work.onAnswer(latency, ranAtOnce);
    }
}

void CostRankedAdmission::onAdmitted(const ServiceRoute &route, TimePoint now)
{
    RouteState &state = routes_[route.address];
    state.value = valueOf(route.urgency);
    state.work.onAdmitted(now);
}

void CostRankedAdmission::retainRoutes(const absl::flat_hash_map<HostAddress, ServiceRoute> &routes)
{
    absl::erase_if(routes_, [&](const auto &entry) { return !routes.contains(entry.first); });
}

void CostRankedAdmission::restart()
{
    for (auto &[address, state] : routes_) {
        state.work.restart();
    }
}

bool CostRankedAdmission::isReady(const HostAddress &route) const
{
    const auto state = routes_.find(route);
    return state != routes_.end() && state->second.work.isKnown();
}

} // namespace poplarroad
