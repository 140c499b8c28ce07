#include "peerauth.h"

#include <algorithm>
#include <cstring>

namespace poplarroad
{

namespace
{

// Differs from the version of flow tokens, so that a token never verifies as a message between balancers.
constexpr std::uint8_t Version = 0xb1;

template<typename Number>
void appendInteger(std::string &out, Number value)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        out.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
    }
}

template<typename Number>
Number readInteger(std::string_view &in)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        value |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(in[i])) << (8 * i);
    }
    in.remove_prefix(sizeof(Number));
    return static_cast<Number>(value);
}

AuthenticatedMessage parseMessage(std::string_view bytes)
{
    AuthenticatedMessage message;
    bytes.remove_suffix(sizeof(Mac));
    bytes.remove_prefix(2);
    message.from.zone.value = readInteger<std::uint32_t>(bytes);
    message.from.address.ip = readInteger<std::uint32_t>(bytes);
    message.from.address.port = readInteger<std::uint16_t>(bytes);
    message.from.incarnation.value = readInteger<std::uint64_t>(bytes);
    message.sequence = readInteger<std::uint64_t>(bytes);
    message.payload = bytes;
    return message;
}

/** @return the MAC over a message and the address of its receiver */
Mac computeMessageMac(const Key &key, std::string_view message, const HostAddress &receiver)
{
    std::string covered;
    covered.reserve(message.size() + sizeof(receiver.ip) + sizeof(receiver.port));
    covered.append(message);
    appendInteger(covered, receiver.ip);
    appendInteger(covered, receiver.port);
    return computeMac(key, covered);
}

} // namespace

bool ReplayWindow::accept(std::uint64_t sequence)
{
    constexpr std::uint64_t windowSize = 64;
    if (sequence > highest_) {
        const std::uint64_t shift = sequence - highest_;
        seen_ = (shift < windowSize ? seen_ << shift : 0) | 1U;
        highest_ = sequence;
        return true;
    }
    const std::uint64_t age = highest_ - sequence;
    if (sequence == 0 || age >= windowSize || ((seen_ >> age) & 1U) != 0) {
        return false;
    }
    seen_ |= std::uint64_t{ 1 } << age;
    return true;
}

PeerAuth::PeerAuth(KeyRing keys, PeerIdentity self, PeerAuthLimits limits)
    : keys_(std::move(keys))
    , self_(self)
    , limits_{ std::max<std::size_t>(limits.windows, 1), limits.evictedSenders }
{
}

std::string PeerAuth::sign(std::string_view payload, const HostAddress &receiver)
{
    std::string out;
    out.reserve(payload.size() + Overhead);
    appendInteger(out, Version);
    appendInteger(out, keys_.signingKey().id);
    appendInteger(out, self_.zone.value);
    appendInteger(out, self_.address.ip);
    appendInteger(out, self_.address.port);
    appendInteger(out, self_.incarnation.value);
    appendInteger(out, ++sequence_);
    out.append(payload);
    const Mac mac = computeMessageMac(keys_.signingKey(), out, receiver);
    out.append(reinterpret_cast<const char *>(mac.data()), mac.size());
    ++status_.signedMessages;
    return out;
}

std::optional<PeerAuthError> PeerAuth::verify(std::string_view bytes) const
{
    if (bytes.size() < Overhead) {
        return PeerAuthError::TooShort;
    }
    if (static_cast<std::uint8_t>(bytes[0]) != Version) {
        return PeerAuthError::UnknownVersion;
    }
    const Key *key = keys_.find(static_cast<std::uint8_t>(bytes[1]));
    if (key == nullptr) {
        return PeerAuthError::UnknownKey;
    }
    Mac received{};
    std::memcpy(received.data(), bytes.data() + bytes.size() - received.size(), received.size());
    const std::string_view covered = bytes.substr(0, bytes.size() - received.size());
    if (!equalMac(received, computeMessageMac(*key, covered, self_.address))) {
        return PeerAuthError::WrongMac;
    }
    return std::nullopt;
}

std::optional<AuthenticatedMessage> PeerAuth::authenticate(std::string_view bytes)
{
    lastError_ = verify(bytes);
    std::optional<AuthenticatedMessage> message;
    if (!lastError_) {
        message = parseMessage(bytes);
        lastError_ = acceptSequence(*message);
    }
    if (lastError_) {
        ++status_.refused[static_cast<std::size_t>(*lastError_)];
        return std::nullopt;
    }
    ++status_.authenticatedMessages;
    return message;
}

std::optional<PeerAuthError> PeerAuth::acceptSequence(const AuthenticatedMessage &message)
{
    Sender *sender = findOrAddSender({ message.from.address, message.from.incarnation });
    if (sender == nullptr) {
        return PeerAuthError::TooManySenders;
    }
    sender->lastUse = ++useCount_;
    return sender->window.accept(message.sequence) ? std::nullopt : std::optional(PeerAuthError::Replayed);
}

PeerAuth::Sender *PeerAuth::findOrAddSender(const SenderKey &key)
{
    const auto known = senders_.find(key);
    if (known != senders_.end()) {
        return &known->second;
    }
    const auto evicted = evictedSenders_.find(key);
    Sender sender{ evicted == evictedSenders_.end() ? ReplayWindow() : ReplayWindow(evicted->second), 0 };
    if (evicted != evictedSenders_.end()) {
        evictedSenders_.erase(evicted);
    }
    if (senders_.size() >= limits_.windows && !evictIdleSender()) {
        return nullptr;
    }
    return &senders_.emplace(key, sender).first->second;
}

bool PeerAuth::evictIdleSender()
{
    // Dropping the number of an evicted sender would let its old messages in again, so a new sender is refused instead.
    if (evictedSenders_.size() >= limits_.evictedSenders) {
        return false;
    }
    const auto idle = std::min_element(senders_.begin(), senders_.end(), [](const auto &a, const auto &b) {
        return a.second.lastUse < b.second.lastUse;
    });
    evictedSenders_.emplace(idle->first, idle->second.window.highest());
    senders_.erase(idle);
    return true;
}

} // namespace poplarroad
