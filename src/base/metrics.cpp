#include "base/metrics.h"

namespace poplarroad
{

namespace
{

constexpr std::string_view NamePrefix = "poplarroad_";

std::string toSeconds(Microseconds time)
{
    return std::to_string(std::chrono::duration<double>(time).count());
}

} // namespace

void LatencyHistogram::add(TimePoint::duration duration)
{
    std::size_t bucket = 0;
    while (bucket < BucketBounds.size() && duration > BucketBounds[bucket]) {
        ++bucket;
    }
    buckets_[bucket].store(countInBucket(bucket) + 1, std::memory_order_relaxed);
    sum_.store(sum_.load(std::memory_order_relaxed) + std::chrono::duration_cast<Microseconds>(duration).count(),
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

void MetricsWriter::writeType(std::string_view name, std::string_view suffix, std::string_view type)
{
    text_.append("# TYPE ").append(NamePrefix).append(name).append(suffix).append(" ").append(type).append("\n");
}

void MetricsWriter::writeSample(std::string_view name, std::string_view suffix, std::string_view label,
                                std::string_view labelValue, std::string_view value)
{
    text_.append(NamePrefix).append(name).append(suffix);
    if (!label.empty()) {
        text_.append("{").append(label).append("=\"").append(labelValue).append("\"}");
    }
    text_.append(" ").append(value).append("\n");
}

void MetricsWriter::counter(std::string_view name, std::uint64_t value)
{
    writeType(name, "_total", "counter");
    writeSample(name, "_total", "", "", std::to_string(value));
}

void MetricsWriter::gauge(std::string_view name, std::int64_t value)
{
    writeType(name, "", "gauge");
    writeSample(name, "", "", "", std::to_string(value));
}

void MetricsWriter::histogram(std::string_view name, const LatencyHistogram &histogram)
{
    writeType(name, "", "histogram");
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < LatencyHistogram::BucketBounds.size(); ++bucket) {
        cumulative += histogram.countInBucket(bucket);
        writeSample(name, "_bucket", "le", toSeconds(LatencyHistogram::BucketBounds[bucket]),
                    std::to_string(cumulative));
    }
    cumulative += histogram.countInBucket(LatencyHistogram::BucketBounds.size());
    writeSample(name, "_bucket", "le", "+Inf", std::to_string(cumulative));
    writeSample(name, "_sum", "", "", toSeconds(histogram.sum()));
    writeSample(name, "_count", "", "", std::to_string(cumulative));
}

} // namespace poplarroad
