#ifndef POPLARROAD_BASE_COUNTERS_H
#define POPLARROAD_BASE_COUNTERS_H

#include "base/metrics.h"
#include "poplarroad/enumnames.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace poplarroad
{

/** Event counters of the tasks. */
enum class Counter : std::uint8_t {
    CallerMessages,
    CallerMessagesRefused,
    CallerReplies,
    CallerRepliesDropped,
    CallerConnections,
    RequestsDispatched,
    RequestsForwarded,
    ForwardsReceived,
    TargetRuns,
    TargetResults,
    TargetRefusals,
    TargetLosses,
    TargetFramesRefused,
    PeerDatagramsSent,
    PeerDatagramsReceived,
    PeerMessagesRefused,
    PeerControlBytesSent,
    PeerFramesSent,
    PeerFramesReceived,
    PeerFramesDropped,
    PeerLinksLost,
    PeerLinksSilent,
    FramesTooLong,
    ProcessPauses,
    ConfigMessages,
    PacketsForwarded,
    PacketsDropped,
    PacketsRefused,
    FlowsReset,
    WarmupPlacements, ///< opening packets sent to targets that are cold and limited
    WarmupDeferred, ///< new flows for which a cold target was passed over for its limit
    StoreCalls,
    StoreFailures,
    TargetEntriesRefused,
    ListsTruncated,
    ListsDiffered,
    ErasRefused,
};

template<>
struct EnumNames<Counter>
{
    static constexpr std::array table{
        EnumName<Counter>{ Counter::CallerMessages, "caller_messages" },
        EnumName<Counter>{ Counter::CallerMessagesRefused, "caller_messages_refused" },
        EnumName<Counter>{ Counter::CallerReplies, "caller_replies" },
        EnumName<Counter>{ Counter::CallerRepliesDropped, "caller_replies_dropped" },
        EnumName<Counter>{ Counter::CallerConnections, "caller_connections" },
        EnumName<Counter>{ Counter::RequestsDispatched, "requests_dispatched" },
        EnumName<Counter>{ Counter::RequestsForwarded, "requests_forwarded" },
        EnumName<Counter>{ Counter::ForwardsReceived, "forwards_received" },
        EnumName<Counter>{ Counter::TargetRuns, "target_runs" },
        EnumName<Counter>{ Counter::TargetResults, "target_results" },
        EnumName<Counter>{ Counter::TargetRefusals, "target_refusals" },
        EnumName<Counter>{ Counter::TargetLosses, "target_losses" },
        EnumName<Counter>{ Counter::TargetFramesRefused, "target_frames_refused" },
        EnumName<Counter>{ Counter::PeerDatagramsSent, "peer_datagrams_sent" },
        EnumName<Counter>{ Counter::PeerDatagramsReceived, "peer_datagrams_received" },
        EnumName<Counter>{ Counter::PeerMessagesRefused, "peer_messages_refused" },
        EnumName<Counter>{ Counter::PeerControlBytesSent, "peer_control_bytes_sent" },
        EnumName<Counter>{ Counter::PeerFramesSent, "peer_frames_sent" },
        EnumName<Counter>{ Counter::PeerFramesReceived, "peer_frames_received" },
        EnumName<Counter>{ Counter::PeerFramesDropped, "peer_frames_dropped" },
        EnumName<Counter>{ Counter::PeerLinksLost, "peer_links_lost" },
        EnumName<Counter>{ Counter::PeerLinksSilent, "peer_links_silent" },
        EnumName<Counter>{ Counter::FramesTooLong, "frames_too_long" },
        EnumName<Counter>{ Counter::ProcessPauses, "process_pauses" },
        EnumName<Counter>{ Counter::ConfigMessages, "config_messages" },
        EnumName<Counter>{ Counter::PacketsForwarded, "packets_forwarded" },
        EnumName<Counter>{ Counter::PacketsDropped, "packets_dropped" },
        EnumName<Counter>{ Counter::PacketsRefused, "packets_refused" },
        EnumName<Counter>{ Counter::FlowsReset, "flows_reset" },
        EnumName<Counter>{ Counter::WarmupPlacements, "warmup_placements" },
        EnumName<Counter>{ Counter::WarmupDeferred, "warmup_deferred" },
        EnumName<Counter>{ Counter::StoreCalls, "store_calls" },
        EnumName<Counter>{ Counter::StoreFailures, "store_failures" },
        EnumName<Counter>{ Counter::TargetEntriesRefused, "target_entries_refused" },
        EnumName<Counter>{ Counter::ListsTruncated, "lists_truncated" },
        EnumName<Counter>{ Counter::ListsDiffered, "lists_differed" },
        EnumName<Counter>{ Counter::ErasRefused, "eras_refused" },
    };
};

/** Counters of one task; only that task increments them, any thread may read them. */
class alignas(64) CounterSet
{
public:
    void add(Counter counter, std::uint64_t amount = 1)
    {
        // With one writer, a separate load and store suffices and avoids an atomic read-modify-write instruction.
        auto &value = values_[static_cast<std::size_t>(counter)];
        value.store(value.load(std::memory_order_relaxed) + amount, std::memory_order_relaxed);
    }
    std::uint64_t value(Counter counter) const
    {
        return values_[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, EnumNames<Counter>::table.size()> values_{};
};

/** Writes each counter, summed over all sets. */
void writeCounters(MetricsWriter &writer, const std::vector<const CounterSet *> &sets);

} // namespace poplarroad

#endif
