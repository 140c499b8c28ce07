#ifndef POPLARROAD_LINK_SOCKETADDRESS_H
#define POPLARROAD_LINK_SOCKETADDRESS_H

#include "poplarroad/host.h"

#include <netinet/in.h>

namespace poplarroad
{

inline sockaddr_in toSocketAddress(const HostAddress &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.ip);
    result.sin_port = htons(address.port);
    return result;
}

inline HostAddress fromSocketAddress(const sockaddr_in &address)
{
    return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
}

} // namespace poplarroad

#endif
