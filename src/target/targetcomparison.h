#ifndef POPLARROAD_TARGET_TARGETCOMPARISON_H
#define POPLARROAD_TARGET_TARGETCOMPARISON_H

#include "poplarroad/fleetmessages.h"
#include "target/answertrace.h"
#include "target/targettable.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <utility>
#include <vector>

namespace poplarroad
{

/** A change of a target's standing, with the observations that led to it. */
struct ComparisonChange
{
    TargetId target;
    TargetStanding standing = TargetStanding::Usual;
    double ratio = 1.0; ///< time of an answer relative to the median of the service and zone
    double shortShare = 0.0; ///< fraction of short answers
    double samples = 0.0; ///< answers that count, decayed
};

/**
 * Compares the targets of a service in a zone by the answers that this balancer and others of its zone saw.
 *
 * Each answer is first compared with the usual one of its route, as routes of a service differ in the work and in the
 * size of answers. A target stands out only if its answers would be very unlikely at a target like the median one.
 */
class TargetComparison
{
public:
    /** Interval at which evaluate() is to be called. */
    static constexpr Milliseconds EvaluationPeriod{ 500 };

    /**
     * Records an answer as soon as it is known whether it is short.
     *
     * @param acknowledged acknowledgement number of the caller
     * @param complete nothing more of the answer follows
     */
    void onAcknowledged(AnswerTrace &trace, const HostAddress &route, TargetEntry &target, std::uint32_t acknowledged,
                        bool complete, TimePoint now);
    /** Records that a caller gave up a request without an answer after `waited`. */
    void onAbandoned(AnswerTrace &trace, const HostAddress &route, TargetEntry &target, TimePoint::duration waited,
                     TimePoint now);
    /** Moves the answers seen here since the last report into a report. */
    static void moveAnswers(TargetEntry &target, TargetLoad &load);
    /** Records the answers that another balancer of the zone saw. */
    static void onPeerReport(TargetEntry &target, const TargetLoad &load, TimePoint now);
    /** Compares all targets; their standings and ratios are in TargetEntry::evidence. */
    void evaluate(TargetTable &targets, TimePoint now);
    /** Discards all evidence: after a pause of this balancer the time of answers shows the pause. */
    void discard(TargetTable &targets);
    /** Discards the usual answers of routes that `services` does not have. */
    void retainRoutes(const ServiceMap &services);
    /** @return the changes since the last call */
    std::vector<ComparisonChange> takeChanges()
    {
        return std::exchange(changes_, {});
    }

private:
    /** Moving averages over all targets. */
    struct UsualAnswer
    {
        double timeMs = 0.0;
        double bytes = 0.0;
        std::uint32_t samples = 0;
    };
    struct Medians
    {
        double meanMs;
        double shortShare;
    };
    struct Outlier
    {
        TargetIndex target;
        TargetStanding standing;
        double severity; ///< expected loss of a flow to it; orders outliers when only some may be avoided
    };

    void record(AnswerTrace &trace, UsualAnswer &usual, TargetEntry &target, bool isShort, TimePoint now);
    static void add(TargetEvidence &evidence, double answers, double timeSumMs, double shortAnswers, TimePoint now);
    void compare(const std::vector<TargetIndex> &group, TargetTable &targets);
    static std::optional<Medians> mediansOf(const std::vector<TargetIndex> &group, const TargetTable &targets);
    static bool isSlow(const TargetEvidence &evidence, double medianMs);
    static bool isShedding(const TargetEvidence &evidence, double medianShare);
    void apply(TargetEntry &target, TargetStanding standing, double medianMs);

    absl::flat_hash_map<HostAddress, UsualAnswer> routes_;
    absl::flat_hash_map<ServiceId, UsualAnswer> services_;
    std::vector<ComparisonChange> changes_;
};

} // namespace poplarroad

#endif
