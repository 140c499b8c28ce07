#include "base/metrics.h"
#include "host/packetmetrics.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace poplarroad;

namespace
{

/** @return the value of the sample with this name and label, or std::nullopt */
std::optional<std::string> sampleValue(const std::string &text, const std::string &name)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " ")) {
            return line.substr(name.size() + 1);
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("durations on a bucket bound are counted in that bucket, and exported buckets are cumulative")
{
    LatencyHistogram histogram;
    histogram.add(Milliseconds(0));
    histogram.add(Milliseconds(1));
    histogram.add(Microseconds(1001));
    histogram.add(Milliseconds(6000));
    CHECK(histogram.countInBucket(0) == 2);
    CHECK(histogram.countInBucket(1) == 1);
    CHECK(histogram.countInBucket(LatencyHistogram::BucketBounds.size()) == 1);
    CHECK(histogram.count() == 4);
    MetricsWriter writer;
    writer.histogram("x_seconds", histogram);
    CHECK(sampleValue(writer.text(), "poplarroad_x_seconds_bucket{le=\"0.001000\"}") == "2");
    CHECK(sampleValue(writer.text(), "poplarroad_x_seconds_bucket{le=\"0.002000\"}") == "3");
    CHECK(sampleValue(writer.text(), "poplarroad_x_seconds_bucket{le=\"5.000000\"}") == "3");
    CHECK(sampleValue(writer.text(), "poplarroad_x_seconds_bucket{le=\"+Inf\"}") == "4");
    CHECK(sampleValue(writer.text(), "poplarroad_x_seconds_count") == "4");
    CHECK(sampleValue(writer.text(), "poplarroad_x_seconds_sum") == "6.002001");
}

TEST_CASE("each reason is exported under the name that the logs use")
{
    PacketMetrics packets;
    DirectoryMetrics directory;
    packets.resets.add(ResetReason::Overload);
    packets.resets.add(ResetReason::Overload);
    packets.targets[static_cast<std::size_t>(TargetLiveness::Silent)].set(3);
    directory.storeErrors.add(StoreError::Busy);
    MetricsWriter writer;
    writeMetrics(writer, packets, directory);
    for (const auto &[reason, name] : EnumNames<ResetReason>::table) {
        CHECK(sampleValue(writer.text(), "poplarroad_flow_resets_total{reason=\"" + std::string(name) + "\"}"));
    }
    for (const auto &[reason, name] : EnumNames<DropReason>::table) {
        CHECK(sampleValue(writer.text(), "poplarroad_packet_drops_total{reason=\"" + std::string(name) + "\"}"));
    }
    for (const auto &[reason, name] : EnumNames<PacketError>::table) {
        CHECK(sampleValue(writer.text(), "poplarroad_packet_refusals_total{reason=\"" + std::string(name) + "\"}"));
    }
    CHECK(sampleValue(writer.text(), "poplarroad_flow_resets_total{reason=\"overload\"}") == "2");
    CHECK(sampleValue(writer.text(), "poplarroad_targets{belief=\"silent\"}") == "3");
    CHECK(sampleValue(writer.text(), "poplarroad_store_errors_total{reason=\"busy\"}") == "1");
}
