#ifndef POPLARROAD_LINK_PEERAUTH_H
#define POPLARROAD_LINK_PEERAUTH_H

#include "poplarroad/membership.h"
#include "poplarroad/tokencodec.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace poplarroad
{

/** Why a message from another balancer was refused. */
enum class PeerAuthError : std::uint8_t {
    TooShort,
    UnknownVersion,
    UnknownKey,
    WrongMac,
    Replayed, ///< received before, or older than the replay window
    TooManySenders, ///< no room to track another sender, so a replay could not be detected
};

template<>
struct EnumNames<PeerAuthError>
{
    static constexpr std::array table{
        EnumName<PeerAuthError>{ PeerAuthError::TooShort, "too-short" },
        EnumName<PeerAuthError>{ PeerAuthError::UnknownVersion, "unknown-version" },
        EnumName<PeerAuthError>{ PeerAuthError::UnknownKey, "unknown-key" },
        EnumName<PeerAuthError>{ PeerAuthError::WrongMac, "wrong-mac" },
        EnumName<PeerAuthError>{ PeerAuthError::Replayed, "replayed" },
        EnumName<PeerAuthError>{ PeerAuthError::TooManySenders, "too-many-senders" },
    };
};

/** Sliding window of 64 sequence numbers, up to the highest one received from a sender, to detect replays. */
class ReplayWindow
{
public:
    ReplayWindow() = default;
    /** @param highestSeen this number and all lower ones are treated as already received */
    explicit ReplayWindow(std::uint64_t highestSeen)
        : highest_(highestSeen)
        , seen_(~std::uint64_t{ 0 })
    {
    }

    /** @return whether the number is new, in which case it is marked as seen */
    bool accept(std::uint64_t sequence);
    std::uint64_t highest() const
    {
        return highest_;
    }

private:
    std::uint64_t highest_ = 0;
    std::uint64_t seen_ = 0; ///< bit i stands for highest_ - i
};

/** Counters of PeerAuth; `refused` is indexed by PeerAuthError. */
struct PeerAuthStatus
{
    std::uint64_t signedMessages = 0;
    std::uint64_t authenticatedMessages = 0;
    std::array<std::uint64_t, EnumNames<PeerAuthError>::table.size()> refused{};
};

/** An authenticated message; `payload` points into the bytes given to authenticate(). */
struct AuthenticatedMessage
{
    PeerIdentity from;
    std::uint64_t sequence = 0;
    std::string_view payload;
};

/** How many senders PeerAuth tracks. */
struct PeerAuthLimits
{
    std::size_t windows = 4096; ///< senders with a replay window; above this the least recently active is evicted
    std::size_t evictedSenders = 65536; ///< evicted senders that are remembered; above this new senders are refused
};

/**
 * Signs and authenticates the datagrams and frames between balancers. Not thread-safe: one task owns it.
 *
 * The MAC also covers the address of the receiver, which is not sent, so that a message verifies only at the balancer
 * that it was signed for.
 */
class PeerAuth
{
public:
    static constexpr std::size_t HeaderSize = 28;
    static constexpr std::size_t Overhead = HeaderSize + sizeof(Mac);

    /**
     * @param keys the first one signs, all verify
     * @param self this balancer: the sender of signed messages, and the receiver of authenticated ones
     * @param limits how many senders are tracked
     */
    PeerAuth(KeyRing keys, PeerIdentity self, PeerAuthLimits limits = {});

    /**
     * @param receiver the address that the other balancer passes to its PeerAuth as its own
     * @return header, payload and MAC; each call increments the sequence number
     */
    std::string sign(std::string_view payload, const HostAddress &receiver);
    /** @return the message, or nothing when it is refused; lastError() has the reason */
    std::optional<AuthenticatedMessage> authenticate(std::string_view bytes);
    /** Changes the incarnation of this process; sequence numbers continue. */
    void setIncarnation(Incarnation incarnation)
    {
        self_.incarnation = incarnation;
    }
    std::optional<PeerAuthError> lastError() const
    {
        return lastError_;
    }
    const PeerAuthStatus &status() const
    {
        return status_;
    }

private:
    struct Sender
    {
        ReplayWindow window;
        std::uint64_t lastUse = 0;
    };
    using SenderKey = std::pair<HostAddress, Incarnation>;

    std::optional<PeerAuthError> verify(std::string_view bytes) const;
    std::optional<PeerAuthError> acceptSequence(const AuthenticatedMessage &message);
    /** @return the state of the sender; nullptr when there is no room to track another one */
    Sender *findOrAddSender(const SenderKey &key);
    /**
     * Evicts the least recently active sender; only its highest sequence number is kept.
     *
     * @return false when there is no room for that number
     */
    bool evictIdleSender();

    KeyRing keys_;
    PeerIdentity self_;
    PeerAuthLimits limits_;
    std::uint64_t sequence_ = 0;
    std::uint64_t useCount_ = 0;
    absl::flat_hash_map<SenderKey, Sender> senders_;
    absl::flat_hash_map<SenderKey, std::uint64_t> evictedSenders_; ///< highest sequence number of each evicted sender
    std::optional<PeerAuthError> lastError_;
    PeerAuthStatus status_;
};

} // namespace poplarroad

#endif
