#include "memberlist.h"

#include <algorithm>
#include <tuple>

namespace poplarroad
{

namespace
{

constexpr std::uint64_t RingKey = 0x72696e67; ///< hash key of the ring, ASCII "ring"; the same in all balancers

bool isDead(const HostRecord &record)
{
    return record.state == HostState::Dead;
}

} // namespace

bool supersedes(const HostRecord &a, const HostRecord &b)
{
    const auto order = [](const HostRecord &record) {
        return std::make_tuple(record.epoch, record.incarnation, record.version, record.state);
    };
    return order(a) > order(b);
}

MemberList::MemberList(HostAddress self, SeededRandom &random)
    : self_(self)
    , random_(random)
{
}

bool MemberList::merge(const HostRecord &record, TimePoint now)
{
    auto [found, isNew] = members_.try_emplace(record.address, Member{ record, now });
    if (isNew) {
        addToIndexes(record);
        return true;
    }
    Member &member = found->second;
    if (!supersedes(record, member.record)) {
        return false;
    }
    removeFromIndexes(member.record);
    addToIndexes(record);
    member = { record, now };
    return true;
}

Member *MemberList::find(const HostAddress &address)
{
    const auto found = members_.find(address);
    return found == members_.end() ? nullptr : &found->second;
}

std::vector<HostAddress> MemberList::removeDead(TimePoint before)
{
    std::vector<HostAddress> removedMembers;
    std::erase_if(dead_, [&](const HostAddress &address) {
        const auto found = members_.find(address);
        const bool removed = found->second.since < before;
        if (removed) {
            members_.erase(found);
            removedMembers.push_back(address);
        }
        return removed;
    });
    return removedMembers;
}

std::optional<HostAddress> MemberList::ringSuccessor(std::size_t distance)
{
    if (ring_.empty()) {
        return std::nullopt;
    }
    const auto byPosition = [this](const HostAddress &a, const HostAddress &b) {
        return ringPosition(a) < ringPosition(b);
    };
    const auto after = std::upper_bound(ring_.begin(), ring_.end(), self_, byPosition);
    const auto index = static_cast<std::size_t>(after - ring_.begin()) + distance;
    return ring_[index % ring_.size()];
}

std::optional<HostAddress> MemberList::nextShuffled()
{
    while (!ring_.empty()) {
        if (shuffled_.empty()) {
            shuffled_ = ring_;
            random_.shuffle(shuffled_);
        }
        const HostAddress next = shuffled_.back();
        shuffled_.pop_back();
        const Member *member = find(next);
        if (member != nullptr && !isDead(member->record)) {
            return next;
        }
    }
    return std::nullopt;
}

std::optional<HostAddress> MemberList::randomDead()
{
    if (dead_.empty()) {
        return std::nullopt;
    }
    return dead_[random_.nextBelow(dead_.size())];
}

std::optional<HostRecord> MemberList::nextForRepair()
{
    if (ring_.empty()) {
        return std::nullopt;
    }
    repairCursor_ = (repairCursor_ + 1) % ring_.size();
    return members_.at(ring_[repairCursor_]).record;
}

std::optional<HostRecord> MemberList::nextDeadForRepair()
{
    if (dead_.empty()) {
        return std::nullopt;
    }
    deadRepairCursor_ = (deadRepairCursor_ + 1) % dead_.size();
    HostRecord record = members_.at(dead_[deadRepairCursor_]).record;
    record.state = HostState::Suspected;
    return record;
}

std::uint64_t MemberList::digest(const HostRecord &self) const
{
    return digest_ + digestOf(self);
}

std::uint64_t MemberList::digestOf(const HostRecord &record)
{
    const std::uint64_t processHash = rendezvousWeight(record.incarnation.value, record.address.key());
    return rendezvousWeight(processHash, (record.epoch << 16U) + record.version);
}

std::uint64_t MemberList::ringPosition(const HostAddress &address) const
{
    return rendezvousWeight(RingKey, address.key());
}

void MemberList::addToIndexes(const HostRecord &record)
{
    if (isDead(record)) {
        dead_.push_back(record.address);
        return;
    }
    digest_ += digestOf(record);
    const auto place = std::lower_bound(
        ring_.begin(), ring_.end(), record.address,
        [this](const HostAddress &a, const HostAddress &b) { return ringPosition(a) < ringPosition(b); });
    ring_.insert(place, record.address);
}

void MemberList::removeFromIndexes(const HostRecord &record)
{
    if (isDead(record)) {
        std::erase(dead_, record.address);
        return;
    }
    digest_ -= digestOf(record);
    std::erase(ring_, record.address);
}

} // namespace poplarroad
