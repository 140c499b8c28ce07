#ifndef POPLARROAD_LINK_SNAPSHOTASSEMBLER_H
#define POPLARROAD_LINK_SNAPSHOTASSEMBLER_H

#include "link/wire.h"

#include <optional>
#include <string>
#include <vector>

namespace poplarroad
{

/** Reassembles one snapshot at a time from its parts; the first part of another snapshot discards the current one. */
class SnapshotAssembler
{
public:
    /** Largest number of parts: 128 MB of JSON, several times the largest supported configuration. */
    static constexpr std::uint32_t MaxSnapshotParts = 256;

    /** @return the snapshot when this is its last part, all parts arrived in order and the configuration is valid */
    std::optional<ConfigSnapshot> add(const HostAddress &peer, SnapshotPart part);

private:
    HostAddress peer_;
    Revision revision_;
    std::vector<std::string> chunks_;
};

} // namespace poplarroad

#endif
