#include "poplarctloutput.h"

#include <capnp/compat/json.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <vector>

namespace poplarroad::ctl
{

namespace
{

using Row = std::vector<std::string>;

/** Prints rows as left-aligned columns, each as wide as its longest cell. */
void printTable(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const Row &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool last = i + 1 == row.size();
            std::cout << std::left << std::setw(last ? 0 : static_cast<int>(widths[i]) + 2) << row[i];
        }
        std::cout << "\n";
    }
}

template<typename Reader>
void printJson(Reader reader)
{
    const capnp::JsonCodec codec;
    std::cout << codec.encode(reader).cStr() << "\n";
}

/** @return the name of a schema enumerant as written in JSON */
template<typename Enum>
std::string enumerantName(Enum value)
{
    const capnp::JsonCodec codec;
    const kj::String quoted = codec.encode(value);
    return nlohmann::json::parse(quoted.cStr()).template get<std::string>();
}

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

const Row BalancerHeader{ "BALANCER", "ZONE", "STATE", "ANSWERED", "REVISION", "PLATFORM", "PENDING", "POOLS" };

Row balancerRow(rpc::BalancerStatus::Reader status)
{
    return { status.getAddress().cStr(),
             status.getZone().cStr(),
             status.getState().cStr(),
             yesNo(status.getAnswered()),
             std::to_string(status.getRevision()),
             status.getPlatformReachable() ? "reachable" : "unreachable",
             std::to_string(status.getPending()),
             std::to_string(status.getPools().size()) };
}

void printPools(capnp::List<rpc::PoolStatus>::Reader pools)
{
    std::vector<Row> rows{ { "SERVICE", "ZONE", "FLOWS", "QUEUED", "IN PROGRESS", "FEEDS", "ANSWERED", "NOT RUN",
                             "UNKNOWN", "SATURATION", "SHED BELOW" } };
    for (const auto pool : pools) {
        rows.push_back({ pool.getService().cStr(), pool.getZone().cStr(), std::to_string(pool.getFlows()),
                         std::to_string(pool.getQueued()), std::to_string(pool.getInProgress()),
                         std::to_string(pool.getFeeds()), std::to_string(pool.getAnswered()),
                         std::to_string(pool.getNotRun()), std::to_string(pool.getUnknown()),
                         std::to_string(pool.getSaturation()), enumerantName(pool.getShedBelow()) });
    }
    printTable(rows);
}

void printZone(rpc::ZoneStatus::Reader status)
{
    std::cout << "zone " << status.getZone().cStr() << ": " << (status.getReachable() ? "reachable" : "unreachable")
              << ", " << status.getLiveHosts() << " live balancers, revision " << status.getRevision() << "\n";
    std::vector<Row> rows{ BalancerHeader };
    for (const auto balancer : status.getBalancers()) {
        rows.push_back(balancerRow(balancer));
    }
    printTable(rows);
}

} // namespace

void print(rpc::ChangeOutcome::Reader outcome, const std::string &changeId, bool json)
{
    const std::string result = enumerantName(outcome.getResult());
    if (json) {
        std::cout << nlohmann::json{
            { "result", result },
            { "revision", outcome.getRevision() },
            { "changeId", changeId },
            { "detail", outcome.getDetail().cStr() }
        }.dump() << "\n";
        return;
    }
    std::cout << result << " revision " << outcome.getRevision() << " change " << changeId;
    std::cout << (outcome.getDetail().size() > 0 ? std::string(": ") + outcome.getDetail().cStr() : "") << "\n";
}

void print(rpc::Configuration::Reader configuration, bool json)
{
    if (json) {
        printJson(configuration);
        return;
    }
    std::cout << "revision " << configuration.getRevision() << "\n";
    std::vector<Row> rows{ { "LINK", "", "DELAY (us)", "COST" } };
    for (const auto link : configuration.getLinks()) {
        rows.push_back({ link.getFrom().cStr(), link.getTo().cStr(), std::to_string(link.getDelayMicroseconds()),
                         std::to_string(link.getCost()) });
    }
    printTable(rows);
    rows = { { "SERVICE", "KIND", "URGENCY", "WEIGHT", "IDEMPOTENT", "DEADLINE (ms)", "MINIMUM SHARE", "OCCUPIES" } };
    for (const auto service : configuration.getServices()) {
        for (const auto contract : service.getContracts()) {
            rows.push_back({ service.getName().cStr(), contract.getKind().cStr(), enumerantName(contract.getUrgency()),
                             std::to_string(contract.getWeight()), yesNo(contract.getIdempotent()),
                             std::to_string(contract.getDeadlineMilliseconds()),
                             std::to_string(contract.getMinimumShare()), enumerantName(contract.getOccupancy()) });
        }
    }
    printTable(rows);
    rows = { { "TARGET", "SERVICE", "ZONE", "ADDRESS", "SLOTS", "CONNECTIONS", "STATE" } };
    for (const auto target : configuration.getTargets()) {
        rows.push_back({ target.getName().cStr(), target.getService().cStr(), target.getZone().cStr(),
                         target.getAddress().cStr(), std::to_string(target.getSlots()),
                         std::to_string(target.getConnections()), enumerantName(target.getState()) });
    }
    printTable(rows);
}

void print(rpc::BalancerStatus::Reader status, bool json)
{
    if (json) {
        printJson(status);
        return;
    }
    printTable({ BalancerHeader, balancerRow(status) });
    printPools(status.getPools());
}

void print(rpc::ZoneStatus::Reader status, bool json)
{
    if (json) {
        printJson(status);
        return;
    }
    printZone(status);
}

void print(rpc::Operator::FleetStatusResults::Reader fleet, bool json)
{
    if (json) {
        printJson(fleet);
        return;
    }
    for (const auto zone : fleet.getZones()) {
        printZone(zone);
    }
}

void print(rpc::Explanation::Reader explanation, bool json)
{
    if (json) {
        printJson(explanation);
        return;
    }
    if (!explanation.getKnown()) {
        std::cout << "not found\n";
        return;
    }
    std::cout << "target " << explanation.getTarget().cStr() << ", dispatcher " << explanation.getBalancer().cStr()
              << "\n";
    for (const auto reason : explanation.getReasons()) {
        std::cout << "  " << reason.cStr() << "\n";
    }
}

} // namespace poplarroad::ctl
