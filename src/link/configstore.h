#ifndef POPLARROAD_LINK_CONFIGSTORE_H
#define POPLARROAD_LINK_CONFIGSTORE_H

#include "objectstore.h"

#include "service/configwriter.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarroad
{

/** Stores the log of configuration changes and the snapshots of the configuration as objects of the store. */
class ConfigStore
{
public:
    /** Largest object of a snapshot in bytes; the store accepts up to 1 MB. */
    static constexpr std::size_t MaxChunkBytes = 1'000'000;
    /** Number of changes between two snapshots. */
    static constexpr std::uint64_t SnapshotInterval = 500;
    /** Key prefix of the changes; a watch on it reports new changes. */
    static constexpr const char *ChangePrefix = "config/change/";

    explicit ConfigStore(ObjectStore &store);

    void create(const ConfigChange &change, std::function<void(CreateResult)> callback);
    void read(Revision revision, std::function<void(ReadResult, std::optional<ConfigChange>)> callback);
    /**
     * Reads the floor, the highest revision whose change may have been removed from the store.
     *
     * @param callback gets nothing if the read failed
     */
    void readFloor(std::function<void(std::optional<Revision>)> callback);
    /**
     * Loads the latest snapshot.
     *
     * @param callback gets nullptr on failure, an empty configuration of revision 0 when there is no snapshot
     */
    void loadSnapshot(std::function<void(ConfigurationPtr)> callback);
    /**
     * Writes a snapshot, then removes the changes up to the previous snapshot.
     *
     * A failure is not reported or retried; the next snapshot replaces this one.
     */
    void writeSnapshot(const ConfigurationPtr &configuration);

private:
    struct Manifest
    {
        Revision revision; ///< of the snapshot
        std::uint64_t chunks = 0;
        Revision floor; ///< revision of the previous snapshot; changes up to it may be removed
    };
    struct Upload
    {
        Manifest manifest;
        std::vector<std::string> chunks;
        std::size_t nextChunk = 0;
    };
    struct Download
    {
        Manifest manifest;
        std::vector<std::string> chunks;
        std::function<void(ConfigurationPtr)> callback;
    };

    static std::optional<Manifest> decodeManifest(const std::string &text);
    static std::string encodeManifest(const Manifest &manifest);
    static std::string chunkKey(Revision revision, std::size_t index);
    void uploadNextChunk(const std::shared_ptr<Upload> &upload);
    void publishManifest(const std::shared_ptr<Upload> &upload);
    void removeHistoryUpTo(Revision floor);
    void downloadNextChunk(const std::shared_ptr<Download> &download);

    ObjectStore &store_;
};

} // namespace poplarroad

#endif
