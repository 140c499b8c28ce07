#include "link/answerassembler.h"

namespace poplarroad
{

AnswerAssembler::AnswerAssembler(AssemblerLimits limits)
    : limits_(limits)
{
}

std::optional<ReceivedReply> AnswerAssembler::add(ReceivedReply received, TimePoint now)
{
    auto *answer = std::get_if<AnswerMessage>(&received.reply);
    if (answer == nullptr || received.parts == 1) {
        return received;
    }
    const AnswerKey key{ answer->id, answer->position };
    if (!partialAnswers_.contains(key) && partialAnswers_.size() >= limits_.maxAnswers) {
        return std::nullopt;
    }
    PartialAnswer &partial = partialAnswers_[key];
    if (partial.parts.size() != received.parts) {
        // Either a new answer, or one split into another number of parts, whose stored parts are dropped.
        payloadBytes_ -= partial.bytes;
        partial = { now, received.parts, 0, std::vector<std::optional<std::string>>(received.parts) };
    }
    std::optional<std::string> &part = partial.parts[received.part];
    if (part || payloadBytes_ + answer->payload.size() > limits_.maxBytes) {
        return std::nullopt;
    }
    payloadBytes_ += answer->payload.size();
    partial.bytes += answer->payload.size();
    part = std::move(answer->payload);
    if (--partial.missing > 0) {
        return std::nullopt;
    }
    answer->payload.clear();
    for (const auto &payload : partial.parts) {
        answer->payload += *payload;
    }
    received.part = 0;
    received.parts = 1;
    drop(key);
    return received;
}

void AnswerAssembler::drop(const AnswerKey &key)
{
    const auto found = partialAnswers_.find(key);
    payloadBytes_ -= found->second.bytes;
    partialAnswers_.erase(found);
}

void AnswerAssembler::expire(TimePoint now)
{
    std::vector<AnswerKey> expired;
    for (const auto &[key, partial] : partialAnswers_) {
        if (now - partial.firstPartAt > limits_.maxAge) {
            expired.push_back(key);
        }
    }
    for (const AnswerKey &key : expired) {
        drop(key);
    }
}

} // namespace poplarroad
