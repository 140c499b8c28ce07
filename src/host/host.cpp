#include "poplarroad/host.h"

#include <algorithm>
#include <charconv>

namespace poplarroad
{

namespace
{

std::optional<std::uint32_t> parseNumber(std::string_view text, std::uint32_t largest)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value > largest) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::uint32_t> parseIp(std::string_view text)
{
    constexpr int octets = 4;
    std::uint32_t ip = 0;
    for (int i = 0; i < octets; ++i) {
        const auto dot = text.find('.');
        const bool last = i == octets - 1;
        if (last != (dot == std::string_view::npos)) {
            return std::nullopt;
        }
        const auto octet = parseNumber(text.substr(0, dot), 255);
        if (!octet) {
            return std::nullopt;
        }
        ip = (ip << 8U) | *octet;
        text.remove_prefix(last ? text.size() : dot + 1);
    }
    return ip;
}

} // namespace

std::string toString(const HostAddress &address)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string((address.ip >> static_cast<unsigned>(shift)) & 0xffU);
        text += shift > 0 ? '.' : ':';
    }
    return text + std::to_string(address.port);
}

std::optional<HostAddress> parseHostAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto ip = parseIp(text.substr(0, colon));
    const auto port = parseNumber(text.substr(colon + 1), 65535);
    if (!ip || !port) {
        return std::nullopt;
    }
    return HostAddress{ *ip, static_cast<std::uint16_t>(*port) };
}

const HostRecord *FleetView::findHost(const HostAddress &address) const
{
    const auto found =
        std::find_if(hosts.begin(), hosts.end(), [&](const HostRecord &host) { return host.address == address; });
    return found == hosts.end() ? nullptr : &*found;
}

const ZoneSummary *FleetView::findZone(ZoneId zone) const
{
    const auto found = std::find_if(otherZones.begin(), otherZones.end(),
                                    [&](const ZoneSummary &summary) { return summary.zone == zone; });
    return found == otherZones.end() ? nullptr : &*found;
}

bool FleetView::acceptsNewWork(const HostRecord &host)
{
    return host.state == HostState::Alive || host.state == HostState::Suspected;
}

} // namespace poplarroad
