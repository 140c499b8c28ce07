#ifndef POPLARROAD_TARGET_ANSWERTRACE_H
#define POPLARROAD_TARGET_ANSWERTRACE_H

#include "poplarroad/clock.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace poplarroad
{

/** What a flow shows of the answer to its last request: its time, its size so far and the queue that the request met. */
class AnswerTrace
{
public:
    /**
     * A request was sent.
     *
     * @param acknowledged acknowledgement number of the caller before the answer
     * @param requestsPerSlot at the target, including this request
     */
    void begin(std::uint32_t acknowledged, double requestsPerSlot)
    {
        acknowledgedBefore_ = acknowledged;
        queueTenths_ = static_cast<std::uint8_t>(std::clamp(requestsPerSlot * TenthsPerUnit, TenthsPerUnit, MaxTenths));
        state_ = State::Waiting;
    }
    /** The caller acknowledged a part of the answer, or gave up; `time` has passed since the request. Only the first counts. */
    void onAnswer(TimePoint::duration time)
    {
        if (state_ != State::Waiting) {
            return;
        }
        constexpr std::int64_t maxMs = std::numeric_limits<std::uint16_t>::max();
        const auto timeMs = std::chrono::round<Milliseconds>(time).count();
        answerMs_ = static_cast<std::uint16_t>(std::clamp<std::int64_t>(timeMs, 0, maxMs));
        state_ = State::Arriving;
    }
    /** The time of the answer was recorded; its size may still grow. */
    void onRecorded()
    {
        state_ = State::Recorded;
    }
    /** The answer is complete, or is not to be recorded. */
    void end()
    {
        state_ = State::Done;
    }
    /** @return whether an answer was seen that is not recorded yet */
    bool isArriving() const
    {
        return state_ == State::Arriving;
    }
    /** @return whether the time of the answer was recorded and its whole size was not */
    bool isRecorded() const
    {
        return state_ == State::Recorded;
    }
    /** @return whether the request has no answer yet */
    bool isWaiting() const
    {
        return state_ == State::Waiting;
    }
    /** @return size of the answer up to an acknowledgement number of the caller, in bytes */
    std::uint32_t bytesUntil(std::uint32_t acknowledged) const
    {
        return acknowledged - acknowledgedBefore_;
    }
    /** @return time from the request to the first acknowledgement, divided by the requests per slot that it met */
    double unqueuedMs() const
    {
        return answerMs_ * TenthsPerUnit / queueTenths_;
    }

private:
    enum class State : std::uint8_t {
        Done,
        Waiting,
        Arriving,
        Recorded,
    };

    static constexpr double TenthsPerUnit = 10.0;
    static constexpr double MaxTenths = 255.0;

    std::uint32_t acknowledgedBefore_ = 0;
    std::uint16_t answerMs_ = 0;
    std::uint8_t queueTenths_ = 10; ///< at least one request per slot: a request alone in several slots runs no faster
    State state_ = State::Done;
};

} // namespace poplarroad

#endif
