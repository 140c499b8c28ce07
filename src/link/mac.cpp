#include "poplarroad/tokencodec.h"

#include <highwayhash/highwayhash_target.h>
#include <highwayhash/instruction_sets.h>

#include <algorithm>
#include <cstring>

namespace poplarroad
{

KeyRing::KeyRing(std::vector<Key> keys)
    : keys_(std::move(keys))
{
}

const Key *KeyRing::find(std::uint8_t id) const
{
    const auto found = std::find_if(keys_.begin(), keys_.end(), [&](const Key &key) { return key.id == id; });
    return found == keys_.end() ? nullptr : &*found;
}

Mac computeMac(const Key &key, std::string_view data)
{
    highwayhash::HHKey words = {};
    std::memcpy(words, key.bytes.data(), sizeof(words));
    highwayhash::HHResult128 result = {};
    highwayhash::InstructionSets::Run<highwayhash::HighwayHash>(words, data.data(), data.size(), &result);
    Mac mac{};
    static_assert(sizeof(result) == sizeof(mac));
    std::memcpy(mac.data(), result, mac.size());
    return mac;
}

bool equalMac(const Mac &a, const Mac &b)
{
    // volatile prevents the compiler from leaving the loop at the first difference, whose position the time would leak.
    volatile std::uint8_t difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        difference = static_cast<std::uint8_t>(difference | (a[i] ^ b[i]));
    }
    return difference == 0;
}

} // namespace poplarroad
