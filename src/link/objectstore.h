#ifndef POPLARROAD_LINK_OBJECTSTORE_H
#define POPLARROAD_LINK_OBJECTSTORE_H

#include "poplarroad/enumnames.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarroad
{

/** Why a call to the object store failed. */
enum class StoreError : std::uint8_t {
    NotFound,
    Exists, ///< create: the key has an object
    VersionChanged, ///< put, remove: the object has another version
    TooLarge,
    Refused, ///< the request is invalid
    Busy, ///< the store refused the request because of its load and did not run it
    Unreachable, ///< no connection, so nothing was sent
    AnswerLost, ///< the connection broke or the call timed out after the request was sent
    Malformed, ///< the response cannot be parsed
    Outdated, ///< the response is of an earlier era than one before it
};

template<>
struct EnumNames<StoreError>
{
    static constexpr std::array table{
        EnumName<StoreError>{ StoreError::NotFound, "not-found" },
        EnumName<StoreError>{ StoreError::Exists, "exists" },
        EnumName<StoreError>{ StoreError::VersionChanged, "version-changed" },
        EnumName<StoreError>{ StoreError::TooLarge, "too-large" },
        EnumName<StoreError>{ StoreError::Refused, "refused" },
        EnumName<StoreError>{ StoreError::Busy, "busy" },
        EnumName<StoreError>{ StoreError::Unreachable, "unreachable" },
        EnumName<StoreError>{ StoreError::AnswerLost, "answer-lost" },
        EnumName<StoreError>{ StoreError::Malformed, "malformed" },
        EnumName<StoreError>{ StoreError::Outdated, "outdated" },
    };
};

/** Whether a failed write took effect. */
enum class WriteEffect : std::uint8_t {
    NotApplied,
    MayBeApplied,
};

/** @return whether a write that failed with the error can have taken effect */
constexpr WriteEffect writeEffectOf(StoreError error)
{
    return error == StoreError::AnswerLost || error == StoreError::Malformed ? WriteEffect::MayBeApplied
                                                                             : WriteEffect::NotApplied;
}

/** Version of an object or of the whole store; it never decreases. */
using StoreVersion = std::uint64_t;

/** Result of a read. */
struct StoreReadResult
{
    std::optional<StoreError> error;
    std::string value;
    StoreVersion version = 0;
};

/** Result of a write. */
struct StoreWriteResult
{
    std::optional<StoreError> error;
    StoreVersion version = 0; ///< of the object after the write
};

/** Result of a list or a watch. */
struct StoreListResult
{
    std::optional<StoreError> error;
    std::vector<std::string> keys;
    StoreVersion version = 0; ///< of the store when it responded
};

/**
 * The platform's object API; an interface, so that tests can replace the store.
 *
 * Calls return immediately; the callback is called later, exactly once, in the thread of the owner.
 */
class ObjectStore
{
public:
    using ReadCallback = std::function<void(StoreReadResult)>;
    using WriteCallback = std::function<void(StoreWriteResult)>;
    using ListCallback = std::function<void(StoreListResult)>;

    virtual ~ObjectStore() = default;
    virtual void get(const std::string &key, ReadCallback callback) = 0;
    /** Writes the object if the key has none. */
    virtual void create(const std::string &key, const std::string &value, WriteCallback callback) = 0;
    /** Writes the object if it still has the version. */
    virtual void put(const std::string &key, const std::string &value, StoreVersion version,
                     WriteCallback callback) = 0;
    virtual void remove(const std::string &key, WriteCallback callback) = 0;
    virtual void list(const std::string &prefix, ListCallback callback) = 0;
    /**
     * Waits for changes.
     *
     * @param after version of the store up to which all changes are known already
     * @param callback gets the keys that were written or removed after it; none after a timeout
     */
    virtual void watch(const std::string &prefix, StoreVersion after, ListCallback callback) = 0;
};

} // namespace poplarroad

#endif
