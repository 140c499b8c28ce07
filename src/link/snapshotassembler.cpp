#include "link/snapshotassembler.h"

#include "link/configjson.h"

namespace poplarroad
{

std::optional<ConfigSnapshot> SnapshotAssembler::add(const HostAddress &peer, SnapshotPart part)
{
    if (part.part == 0) {
        peer_ = peer;
        revision_ = part.revision;
        chunks_.clear();
    }
    const bool isNextPart = peer_ == peer && revision_ == part.revision && part.part == chunks_.size();
    if (!isNextPart || part.parts > MaxSnapshotParts) {
        return std::nullopt;
    }
    chunks_.push_back(std::move(part.chunk));
    if (chunks_.size() < part.parts) {
        return std::nullopt;
    }
    auto configuration = decodeConfiguration(chunks_);
    chunks_.clear();
    if (!configuration || configuration->revision() != revision_) {
        return std::nullopt;
    }
    return ConfigSnapshot{ std::make_shared<const Configuration>(std::move(*configuration)) };
}

} // namespace poplarroad
