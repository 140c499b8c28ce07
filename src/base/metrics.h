#ifndef POPLARROAD_BASE_METRICS_H
#define POPLARROAD_BASE_METRICS_H

#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplarroad
{

/** A value that one task sets and any thread may read. */
class Gauge
{
public:
    void set(std::int64_t value)
    {
        value_.store(value, std::memory_order_relaxed);
    }
    std::int64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> value_{ 0 };
};

/** Counters by reason; only one task increments them, any thread may read them. */
template<typename Reason>
class ReasonCounter
{
public:
    void add(Reason reason)
    {
        // With one writer, a separate load and store suffices and avoids an atomic read-modify-write instruction.
        auto &value = values_[static_cast<std::size_t>(reason)];
        value.store(value.load(std::memory_order_relaxed) + 1, std::memory_order_relaxed);
    }
    std::uint64_t value(Reason reason) const
    {
        return values_[static_cast<std::size_t>(reason)].load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, EnumNames<Reason>::table.size()> values_{};
};

/** Histogram of durations with fixed buckets; only one task adds values, any thread may read them. */
class LatencyHistogram
{
public:
    /** Inclusive upper bounds of the buckets; one more bucket counts longer durations. */
    static constexpr std::array BucketBounds{ Milliseconds(1),    Milliseconds(2),    Milliseconds(5),
                                              Milliseconds(10),   Milliseconds(20),   Milliseconds(50),
                                              Milliseconds(100),  Milliseconds(200),  Milliseconds(500),
                                              Milliseconds(1000), Milliseconds(2000), Milliseconds(5000) };

    void add(TimePoint::duration duration);
    /**
     * @param bucket index in BucketBounds, or its size for longer durations
     * @return number of durations in this bucket, not cumulative
     */
    std::uint64_t countInBucket(std::size_t bucket) const
    {
        return buckets_[bucket].load(std::memory_order_relaxed);
    }
    std::uint64_t count() const;
    /** @return the sum of all durations */
    Microseconds sum() const
    {
        return Microseconds(sum_.load(std::memory_order_relaxed));
    }

private:
    std::array<std::atomic<std::uint64_t>, BucketBounds.size() + 1> buckets_{};
    std::atomic<std::int64_t> sum_{ 0 }; ///< microseconds
};

/** Writes metrics in the Prometheus text format, with the prefix `poplarroad_` on their names. */
class MetricsWriter
{
public:
    void counter(std::string_view name, std::uint64_t value);
    void gauge(std::string_view name, std::int64_t value);
    void histogram(std::string_view name, const LatencyHistogram &histogram);
    /** Writes one counter with a labelled value for each reason. */
    template<typename Reason>
    void counter(std::string_view name, const ReasonCounter<Reason> &counters)
    {
        writeType(name, "_total", "counter");
        for (const auto &[reason, text] : EnumNames<Reason>::table) {
            writeSample(name, "_total", "reason", text, std::to_string(counters.value(reason)));
        }
    }
    /** Writes one gauge with a labelled value for each enumerator. */
    template<typename Label, std::size_t Size>
    void gauge(std::string_view name, std::string_view label, const std::array<Gauge, Size> &values)
    {
        static_assert(Size == EnumNames<Label>::table.size());
        writeType(name, "", "gauge");
        for (const auto &[enumerator, text] : EnumNames<Label>::table) {
            writeSample(name, "", label, text, std::to_string(values[static_cast<std::size_t>(enumerator)].value()));
        }
    }
    const std::string &text() const
    {
        return text_;
    }

private:
    void writeType(std::string_view name, std::string_view suffix, std::string_view type);
    /** @param label label name; empty for a sample without a label */
    void writeSample(std::string_view name, std::string_view suffix, std::string_view label,
                     std::string_view labelValue, std::string_view value);

    std::string text_;
};

} // namespace poplarroad

#endif
