#include "base/metrics.h"
#include "host/packetmetrics.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace poplarroad;

namespace
{

/** @return the value of a metric line, or nothing */
std::optional<std::string> valueOf(const std::string &text, const std::string &name)
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

TEST_CASE("a time on the bound of a bucket is counted in another one, or buckets do not add up")
{
    LatencyHistogram histogram;
    histogram.add(Milliseconds(0));
    histogram.add(Milliseconds(1));
    histogram.add(Microseconds(1001));
    histogram.add(Milliseconds(6000));
    CHECK(histogram.inBucket(0) == 2);
    CHECK(histogram.inBucket(1) == 1);
    CHECK(histogram.inBucket(LatencyHistogram::Bounds.size()) == 1);
    CHECK(histogram.count() == 4);
    MetricsText text;
    text.histogram("x_seconds", histogram);
    CHECK(valueOf(text.text(), "poplarroad_x_seconds_bucket{le=\"0.001000\"}") == "2");
    CHECK(valueOf(text.text(), "poplarroad_x_seconds_bucket{le=\"0.002000\"}") == "3");
    CHECK(valueOf(text.text(), "poplarroad_x_seconds_bucket{le=\"5.000000\"}") == "3");
    CHECK(valueOf(text.text(), "poplarroad_x_seconds_bucket{le=\"+Inf\"}") == "4");
    CHECK(valueOf(text.text(), "poplarroad_x_seconds_count") == "4");
    CHECK(valueOf(text.text(), "poplarroad_x_seconds_sum") == "6.002001");
}

TEST_CASE("a reason has no counter of its own under the word that the logs use")
{
    PacketMetrics packets;
    DirectoryMetrics directory;
    packets.resets.add(ResetReason::Overload);
    packets.resets.add(ResetReason::Overload);
    packets.targets[static_cast<std::size_t>(TargetLiveness::Silent)].set(3);
    directory.storeErrors.add(StoreError::Busy);
    MetricsText text;
    writeMetrics(text, packets, directory);
    for (const auto &[reason, name] : EnumNames<ResetReason>::table) {
        CHECK(valueOf(text.text(), "poplarroad_flow_resets_total{reason=\"" + std::string(name) + "\"}"));
    }
    for (const auto &[reason, name] : EnumNames<DropReason>::table) {
        CHECK(valueOf(text.text(), "poplarroad_packet_drops_total{reason=\"" + std::string(name) + "\"}"));
    }
    for (const auto &[reason, name] : EnumNames<PacketError>::table) {
        CHECK(valueOf(text.text(), "poplarroad_packet_refusals_total{reason=\"" + std::string(name) + "\"}"));
    }
    CHECK(valueOf(text.text(), "poplarroad_flow_resets_total{reason=\"overload\"}") == "2");
    CHECK(valueOf(text.text(), "poplarroad_targets{belief=\"silent\"}") == "3");
    CHECK(valueOf(text.text(), "poplarroad_store_errors_total{reason=\"busy\"}") == "1");
}
