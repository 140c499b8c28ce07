#ifndef POPLARROAD_CONTRACT_ROUTEWORK_H
#define POPLARROAD_CONTRACT_ROUTEWORK_H

#include "poplarroad/clock.h"

#include <cstdint>

namespace poplarroad
{

/** Work that one route causes at the targets of a service, as its answers show it. */
class RouteWork
{
public:
    /** Answers from which the estimate is used; fewer leave the mean of varying work too uncertain. */
    static constexpr std::uint32_t MinAnswers = 20;

    /**
     * Records an answer.
     *
     * @param ranAtOnce the request did not wait for a slot; only then its latency updates the expected work
     */
    void onAnswer(TimePoint::duration latency, bool ranAtOnce);
    /** Adds an admitted request to the recent work of the route. */
    void onAdmitted(TimePoint now);
    /** @return whether enough answers were seen for an estimate */
    bool isKnown() const
    {
        return answers_ >= MinAnswers;
    }
    /** @return expected slot time of one request in milliseconds */
    double expectedMs() const
    {
        return expectedMs_;
    }
    /** @return admitted work in milliseconds of slot time, with exponentially decreasing weight of older requests */
    double admittedMs(TimePoint now) const;
    /** Discards the answers that were counted; the next estimate begins with the current one. */
    void restart()
    {
        answers_ = 0;
    }

private:
    double expectedMs_ = 50.0; ///< before the first answer the same as FlowAdmission assumes
    double admittedMs_ = 0.0; ///< at admittedAt_
    TimePoint admittedAt_;
    double samples_ = 0.0; ///< answers that updated expectedMs_, up to a limit
    std::uint32_t answers_ = 0; ///< up to MinAnswers
};

} // namespace poplarroad

#endif
