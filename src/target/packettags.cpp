#include "poplarroad/packet.h"

#include <algorithm>

namespace poplarroad
{

PacketTags packetTagsOf(TargetId target)
{
    PacketTags tags;
    std::uint64_t choice = 0;
    for (auto tag = tags.begin(); tag != tags.end(); ++choice) {
        *tag = PacketTag{ static_cast<std::uint32_t>(rendezvousWeight(target.value, choice)) };
        const bool usable = tag->value != 0 && std::find(tags.begin(), tag, *tag) == tag;
        tag += usable ? 1 : 0;
    }
    return tags;
}

} // namespace poplarroad
