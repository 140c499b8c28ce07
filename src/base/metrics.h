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

/** A number that one task sets and any thread reads. */
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

/** Counts by reason; only one task adds, any thread reads. */
template<typename Reason>
class ReasonCounter
{
public:
    void add(Reason reason)
    {
        // One writer: a plain load and store is enough and needs no locked instruction.
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

/** Distribution of times in fixed memory; only one task adds, any thread reads. */
class LatencyHistogram
{
public:
    /** Upper bounds of the buckets; longer times are in one more. */
    static constexpr std::array BucketBounds{ Milliseconds(1),    Milliseconds(2),    Milliseconds(5),
                                              Milliseconds(10),   Milliseconds(20),   Milliseconds(50),
                                              Milliseconds(100),  Milliseconds(200),  Milliseconds(500),
                                              Milliseconds(1000), Milliseconds(2000), Milliseconds(5000) };

    void add(TimePoint::duration time);
    /** @param bucket index in Bounds, or its size for the longer times @return times in that bucket alone */
    std::uint64_t countInBucket(std::size_t bucket) const
    {
        return buckets_[bucket].load(std::memory_order_relaxed);
    }
    std::uint64_t count() const;
    /** @return the sum of all times */
    Microseconds sum() const
    {
        return Microseconds(sum_.load(std::memory_order_relaxed));
    }

private:
    std::array<std::atomic<std::uint64_t>, BucketBounds.size() + 1> buckets_{};
    std::atomic<std::int64_t> sum_{ 0 }; ///< microseconds
};

/** Writes metrics in Prometheus' text format; names get the project's prefix. */
class MetricsWriter
{
public:
    void counter(std::string_view name, std::uint64_t value);
    void gauge(std::string_view name, std::int64_t value);
    void histogram(std::string_view name, const LatencyHistogram &histogram);
    template<typename Reason>
    void counter(std::string_view name, const ReasonCounter<Reason> &counts)
    {
        type(name, "_total", "counter");
        for (const auto &[reason, text] : EnumNames<Reason>::table) {
            line(name, "_total", "reason", text, std::to_string(counts.value(reason)));
        }
    }
    /** One gauge with a value for each enumerator. */
    template<typename Label, std::size_t Count>
    void gauge(std::string_view name, std::string_view label, const std::array<Gauge, Count> &values)
    {
        static_assert(Count == EnumNames<Label>::table.size());
        type(name, "", "gauge");
        for (const auto &[each, text] : EnumNames<Label>::table) {
            line(name, "", label, text, std::to_string(values[static_cast<std::size_t>(each)].value()));
        }
    }
    const std::string &text() const
    {
        return text_;
    }

private:
    void type(std::string_view name, std::string_view suffix, std::string_view kind);
    /** @param label empty for none */
    void line(std::string_view name, std::string_view suffix, std::string_view label, std::string_view labelValue,
              std::string_view value);

    std::string text_;
};

} // namespace poplarroad

#endif
