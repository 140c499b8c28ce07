#include "target/targetcomparison.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace poplarroad
{

namespace
{

constexpr double UsualSmoothing = 0.02; ///< weight of the latest answer in the usual one of its route or service
/** Short answers change the usual size slowly, so that a shedding target does not make refusals usual. */
constexpr double ShortSmoothing = UsualSmoothing / 10.0;
constexpr std::uint32_t MinUsualSamples = 50; ///< before that nothing is known about the usual answer of a route
/** An answer below this fraction of the usual size is short. Refusals have a head like any answer, but no body. */
constexpr double ShortFraction = 0.5;
/** Longer times count as this multiple of the usual one, so that single long requests weigh little. */
constexpr double MaxTimeRatio = 6.0;
constexpr double MaxSizeRatio = 10.0; ///< larger answers count as this multiple of the usual size
constexpr double MinSamples = 3.0; ///< of a target to take part in the median
constexpr std::size_t MinCompared = 3; ///< targets; of two that differ neither is the outlier
constexpr std::size_t AvoidedFraction = 3; ///< at most one in this many targets stands out
constexpr double SlowRatio = 2.5; ///< of the median, to become slow; a target that warms up takes 2
constexpr double UsualRatio = 1.75; ///< of the median, to stop being slow
constexpr double SheddingExcess = 0.2; ///< share of short answers above the median, to become shedding
constexpr double UsualExcess = 0.1; ///< share of short answers above the median, to stop being shedding
constexpr double MinShortShare = 0.02; ///< assumed for the median, for single refusals and lost packets
constexpr double MinSlowSamples = 6.0; ///< with fewer, two long requests that one balancer saw could decide
/**
 * Negative logarithm of the probability that a target like the median one answers so slowly. 40 targets at 60 balancers
 * make 24,000 independent comparisons in a minute, so e^-10 happens to even targets every minute; the tail of long
 * requests, heavier than the exponential one that is assumed, adds 4 at most in 300 simulated minutes.
 */
constexpr double RequiredSlowEvidence = 18.0;
/** The same for short answers, which have no such tail. */
constexpr double RequiredShedEvidence = 14.0;
constexpr double MinRemaining = 1.0; ///< with fewer recent answers a target no longer stands out
constexpr double MinToReturn = 1.5; ///< recent answers needed to judge that it answers as usual again

void updateAverage(double &average, double value, double smoothing, std::uint32_t samples)
{
    average += std::max(smoothing, 1.0 / (samples + 1.0)) * (value - average);
}

double medianOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/** @return log-likelihood ratio of `samples` exponential times with `ratio` times the expected mean */
double slowEvidence(double samples, double ratio)
{
    return samples * (ratio - 1.0 - std::log(ratio));
}

/** @return log-likelihood ratio of a share of short answers against the expected share */
double shedEvidence(double samples, double share, double expected)
{
    const double rest = share >= 1.0 ? 0.0 : (1.0 - share) * std::log((1.0 - share) / (1.0 - expected));
    return samples * (share * std::log(share / expected) + rest);
}

} // namespace

void TargetEvidence::decay(TimePoint now)
{
    if (now <= decayedAt) {
        return;
    }
    const std::chrono::duration<float> elapsed = now - decayedAt;
    const float factor = std::exp(-elapsed.count() / static_cast<float>(Memory.count()));
    answers *= factor;
    timeSumMs *= factor;
    shortAnswers *= factor;
    decayedAt = now;
}

bool TargetEvidence::tryStartTrial(TimePoint now)
{
    if (standing == TargetStanding::Usual || now - lastTrial < TrialPeriod
        || (timed() >= MinToReturn && answers >= MinSamples)) {
        return false;
    }
    lastTrial = now;
    return true;
}

void TargetComparison::onAcknowledged(AnswerTrace &trace, const HostAddress &route, TargetEntry &target,
                                      std::uint32_t acknowledged, bool complete, TimePoint now)
{
    if (!trace.isArriving() && !(complete && trace.isRecorded())) {
        return;
    }
    UsualAnswer &usual = routes_[route];
    const double acknowledgedBytes = trace.bytesUntil(acknowledged);
    // A wrong acknowledgement number, or the 0 of a reset without one, would make all later answers short.
    const double bytes =
        usual.samples >= MinUsualSamples ? std::min(acknowledgedBytes, MaxSizeRatio * usual.bytes) : acknowledgedBytes;
    const bool isSmall = usual.samples >= MinUsualSamples && bytes < ShortFraction * usual.bytes;
    if (!complete && (isSmall || usual.samples < MinUsualSamples)) {
        return;
    }
    if (trace.isArriving()) {
        record(trace, usual, target, isSmall && trace.unqueuedMs() < usual.timeMs, now);
    }
    if (complete) {
        updateAverage(usual.bytes, bytes, isSmall ? ShortSmoothing : UsualSmoothing, usual.samples);
        trace.end();
    }
}

void TargetComparison::onAbandoned(AnswerTrace &trace, const HostAddress &route, TargetEntry &target,
                                   TimePoint::duration waited, TimePoint now)
{
    const auto usual = routes_.find(route);
    if (trace.isWaiting() && usual != routes_.end()) {
        trace.onAnswer(waited);
        record(trace, usual->second, target, false, now);
        trace.end();
    }
}

void TargetComparison::record(AnswerTrace &trace, UsualAnswer &usual, TargetEntry &target, bool isShort, TimePoint now)
{
    trace.onRecorded();
    // A target that warms up is slower than others and no outlier.
    if (now < target.warmupEnd) {
        return;
    }
    TargetEvidence &evidence = target.evidence;
    UsualAnswer &service = services_[target.listed.target.service];
    const bool usualIsKnown = usual.samples >= MinUsualSamples;
    double timeMs = 0.0;
    if (!isShort) {
        const double limitedMs =
            usualIsKnown ? std::min(trace.unqueuedMs(), MaxTimeRatio * usual.timeMs) : trace.unqueuedMs();
        updateAverage(usual.timeMs, limitedMs, UsualSmoothing, usual.samples);
        updateAverage(service.timeMs, limitedMs, UsualSmoothing, service.samples);
        ++usual.samples;
        ++service.samples;
        // As if the request were a usual one of the service, so that the mix of routes at a target does not matter.
        timeMs = usual.timeMs > 0.0 ? limitedMs / usual.timeMs * service.timeMs : limitedMs;
    }
    if (!usualIsKnown) {
        return;
    }
    add(evidence, 1.0, timeMs, isShort ? 1.0 : 0.0, now);
    if (evidence.unreported < std::numeric_limits<std::uint16_t>::max()) {
        ++evidence.unreported;
        evidence.unreportedShort = static_cast<std::uint16_t>(evidence.unreportedShort + (isShort ? 1 : 0));
        evidence.unreportedMs += static_cast<float>(timeMs);
    }
}

void TargetComparison::add(TargetEvidence &evidence, double answers, double timeSumMs, double shortAnswers,
                           TimePoint now)
{
    evidence.decay(now);
    evidence.answers += static_cast<float>(answers);
    evidence.timeSumMs += static_cast<float>(timeSumMs);
    evidence.shortAnswers += static_cast<float>(shortAnswers);
}

void TargetComparison::moveAnswers(TargetEntry &target, TargetLoad &load)
{
    TargetEvidence &evidence = target.evidence;
    const int timed = evidence.unreported - evidence.unreportedShort;
    constexpr float maxMs = std::numeric_limits<std::uint16_t>::max();
    load.answers = evidence.unreported;
    load.shortAnswers = evidence.unreportedShort;
    load.meanAnswerMs = timed > 0
        ? static_cast<std::uint16_t>(std::min(std::round(evidence.unreportedMs / static_cast<float>(timed)), maxMs))
        : std::uint16_t{ 0 };
    evidence.unreported = 0;
    evidence.unreportedShort = 0;
    evidence.unreportedMs = 0.0F;
}

void TargetComparison::onPeerReport(TargetEntry &target, const TargetLoad &load, TimePoint now)
{
    if (load.answers > 0 && load.shortAnswers <= load.answers && now >= target.warmupEnd) {
        const double timed = load.answers - load.shortAnswers;
        add(target.evidence, load.answers, timed * load.meanAnswerMs, load.shortAnswers, now);
    }
}

void TargetComparison::evaluate(TargetTable &targets, TimePoint now)
{
    std::map<std::pair<ServiceId, ZoneId>, std::vector<TargetIndex>> groups;
    for (const auto &[id, index] : targets.byId()) {
        TargetEntry &target = targets.at(index);
        target.evidence.decay(now);
        if (target.listing != ListingState::Gone) {
            groups[{ target.listed.target.service, target.listed.target.zone }].push_back(index);
        }
    }
    for (const auto &[key, group] : groups) {
        compare(group, targets);
    }
}

void TargetComparison::compare(const std::vector<TargetIndex> &group, TargetTable &targets)
{
    const auto medians = mediansOf(group, targets);
    std::vector<Outlier> outliers;
    for (const TargetIndex index : group) {
        const TargetEvidence &evidence = targets.at(index).evidence;
        if (!medians) {
            // Too few answers of the others end no conclusion; too few of the target do.
            if (evidence.standing != TargetStanding::Usual && evidence.answers >= MinSamples) {
                outliers.push_back({ index, evidence.standing, evidence.ratio });
            }
            continue;
        }
        if (medians && isShedding(evidence, medians->shortShare)) {
            outliers.push_back({ index, TargetStanding::Shedding, MaxTimeRatio * (1.0 + evidence.shortShare()) });
        } else if (medians && isSlow(evidence, medians->meanMs)) {
            outliers.push_back({ index, TargetStanding::Slow, evidence.meanMs() / medians->meanMs });
        }
    }
    std::sort(outliers.begin(), outliers.end(),
              [](const Outlier &a, const Outlier &b) { return a.severity > b.severity; });
    outliers.resize(std::min(outliers.size(), group.size() / AvoidedFraction));
    for (const TargetIndex index : group) {
        const auto found = std::find_if(outliers.begin(), outliers.end(),
                                        [&](const Outlier &outlier) { return outlier.target == index; });
        apply(targets.at(index), found == outliers.end() ? TargetStanding::Usual : found->standing,
              medians ? medians->meanMs : 0.0);
    }
}

std::optional<TargetComparison::Medians> TargetComparison::mediansOf(const std::vector<TargetIndex> &group,
                                                                     const TargetTable &targets)
{
    std::vector<double> means;
    std::vector<double> shares;
    for (const TargetIndex index : group) {
        const TargetEvidence &evidence = targets.at(index).evidence;
        if (evidence.answers >= MinSamples) {
            shares.push_back(evidence.shortShare());
        }
        if (evidence.timed() >= MinSamples) {
            means.push_back(evidence.meanMs());
        }
    }
    const std::size_t required = std::max(MinCompared, group.size() / 2);
    if (means.size() < required || shares.size() < required) {
        return std::nullopt;
    }
    // Reports carry whole milliseconds, so the shortest services cannot be compared more finely.
    return Medians{ std::max(medianOf(means), 1.0), medianOf(shares) };
}

bool TargetComparison::isSlow(const TargetEvidence &evidence, double medianMs)
{
    const double ratio = evidence.meanMs() / medianMs;
    if (evidence.standing == TargetStanding::Slow) {
        return evidence.timed() >= MinRemaining && (evidence.timed() < MinToReturn || ratio >= UsualRatio);
    }
    return evidence.timed() >= MinSlowSamples && ratio >= SlowRatio
        && slowEvidence(evidence.timed(), ratio) >= RequiredSlowEvidence;
}

bool TargetComparison::isShedding(const TargetEvidence &evidence, double medianShare)
{
    const double expected = std::clamp(medianShare, MinShortShare, 1.0 - MinShortShare);
    const double share = evidence.shortShare();
    if (evidence.standing == TargetStanding::Shedding) {
        return evidence.answers >= MinRemaining && (evidence.answers < MinToReturn || share >= expected + UsualExcess);
    }
    return share >= expected + SheddingExcess
        && shedEvidence(evidence.answers, share, expected) >= RequiredShedEvidence;
}

void TargetComparison::apply(TargetEntry &target, TargetStanding standing, double medianMs)
{
    TargetEvidence &evidence = target.evidence;
    const double ratio = medianMs > 0.0 ? std::clamp(evidence.meanMs() / medianMs, 1.0, MaxTimeRatio) : 1.0;
    if (standing != TargetStanding::Slow) {
        evidence.ratio = 1.0F;
    } else if (medianMs > 0.0) {
        evidence.ratio = static_cast<float>(ratio);
    }
    if (evidence.standing == standing) {
        return;
    }
    evidence.standing = standing;
    evidence.lastTrial = evidence.decayedAt;
    changes_.push_back(
        { target.listed.target.id, standing, ratio, evidence.shortShare(), static_cast<double>(evidence.answers) });
}

void TargetComparison::discard(TargetTable &targets)
{
    for (const auto &[id, index] : targets.byId()) {
        TargetEntry &target = targets.at(index);
        target.evidence.timeSumMs = 0.0F;
        target.evidence.answers = 0.0F;
        target.evidence.shortAnswers = 0.0F;
        target.evidence.unreported = 0;
        target.evidence.unreportedShort = 0;
        target.evidence.unreportedMs = 0.0F;
        apply(target, TargetStanding::Usual, 0.0);
    }
}

void TargetComparison::retainRoutes(const ServiceMap &services)
{
    absl::erase_if(routes_, [&](const auto &route) { return !services.routes.contains(route.first); });
}

} // namespace poplarroad
