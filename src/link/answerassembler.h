#ifndef POPLARROAD_LINK_ANSWERASSEMBLER_H
#define POPLARROAD_LINK_ANSWERASSEMBLER_H

#include "link/wire.h"
#include "poplarroad/clock.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

namespace poplarroad
{

/** Memory limits of incomplete answers. */
struct AssemblerLimits
{
    std::size_t maxAnswers = 1024; ///< incomplete answers at the same time
    std::size_t maxBytes = std::size_t{ 4 } << 20U; ///< total payload of incomplete answers
    Milliseconds maxAge{ 10000 }; ///< an answer that is still incomplete at this age is dropped
};

/** Reassembles answers from their parts at a caller; parts may arrive out of order and more than once. */
class AnswerAssembler
{
public:
    explicit AnswerAssembler(AssemblerLimits limits = {});
    /**
     * Adds a received reply.
     *
     * @return the complete reply: at once when it has one part, otherwise when its last missing part arrives
     */
    std::optional<ReceivedReply> add(ReceivedReply received, TimePoint now);
    /** Drops incomplete answers older than AssemblerLimits::maxAge. */
    void expire(TimePoint now);
    /** @return the number of incomplete answers */
    std::size_t size() const
    {
        return partialAnswers_.size();
    }

private:
    struct AnswerKey
    {
        RequestId id;
        std::uint64_t position = 0;

        friend bool operator==(const AnswerKey &, const AnswerKey &) = default;
        template<typename Hash>
        friend Hash AbslHashValue(Hash state, const AnswerKey &key)
        {
            return Hash::combine(std::move(state), key.id, key.position);
        }
    };
    struct PartialAnswer
    {
        TimePoint firstPartAt;
        std::size_t missing = 0;
        std::size_t bytes = 0;
        std::vector<std::optional<std::string>> parts;
    };

    void drop(const AnswerKey &key);

    AssemblerLimits limits_;
    std::size_t payloadBytes_ = 0;
    absl::flat_hash_map<AnswerKey, PartialAnswer> partialAnswers_;
};

} // namespace poplarroad

#endif
