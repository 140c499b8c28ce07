#include "base/metrics.h"

namespace poplarroad
{

namespace
{

constexpr std::string_view prefix = "poplarroad_";

std::string seconds(Microseconds time)
{
    return std::to_string(std::chrono::duration<double>(time).count());
}

} // namespace

void LatencyHistogram::add(TimePoint::duration time)
{
    std::size_t bucket = 0;
    while (bucket < BucketBounds.size() && time > BucketBounds[bucket]) {
        ++bucket;
    }
    buckets_[bucket].store(countInBucket(bucket) + 1, std::memory_order_relaxed);
    sum_.store(sum_.load(std::memory_order_relaxed) + std::chrono::duration_cast<Microseconds>(time).count(),
               std::memory_order_relaxed);
}

std::uint64_t LatencyHistogram::count() const
{
    std::uint64_t count = 0;
    for (std::size_t bucket = 0; bucket <= BucketBounds.size(); ++bucket) {
        count += countInBucket(bucket);
    }
    return count;
}

void MetricsWriter::type(std::string_view name, std::string_view suffix, std::string_view kind)
{
    text_.append("# TYPE ").append(prefix).append(name).append(suffix).append(" ").append(kind).append("\n");
}

void MetricsWriter::line(std::string_view name, std::string_view suffix, std::string_view label,
                         std::string_view labelValue, std::string_view value)
{
    text_.append(prefix).append(name).append(suffix);
    if (!label.empty()) {
        text_.append("{").append(label).append("=\"").append(labelValue).append("\"}");
    }
    text_.append(" ").append(value).append("\n");
}

void MetricsWriter::counter(std::string_view name, std::uint64_t value)
{
    type(name, "_total", "counter");
    line(name, "_total", "", "", std::to_string(value));
}

void MetricsWriter::gauge(std::string_view name, std::int64_t value)
{
    type(name, "", "gauge");
    line(name, "", "", "", std::to_string(value));
}

void MetricsWriter::histogram(std::string_view name, const LatencyHistogram &histogram)
{
    type(name, "", "histogram");
    std::uint64_t below = 0;
    for (std::size_t bucket = 0; bucket < LatencyHistogram::BucketBounds.size(); ++bucket) {
        below += histogram.countInBucket(bucket);
        line(name, "_bucket", "le", seconds(LatencyHistogram::BucketBounds[bucket]), std::to_string(below));
    }
    below += histogram.countInBucket(LatencyHistogram::BucketBounds.size());
    line(name, "_bucket", "le", "+Inf", std::to_string(below));
    line(name, "_sum", "", "", seconds(histogram.sum()));
    line(name, "_count", "", "", std::to_string(below));
}

} // namespace poplarroad
