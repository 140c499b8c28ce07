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

/** The log of changes and the snapshots of the configuration as objects of the store. */
class ConfigStore
{
public:
    /** Largest snapshot object in bytes, under the store's limit of 1 MB. */
    static constexpr std::size_t MaxChunkBytes = 1'000'000;
    /** Changes between two snapshots. */
    static constexpr std::uint64_t SnapshotInterval = 500;
    /** Objects whose change a watch reports. */
    static constexpr const char *ChangePrefix = "config/change/";

    explicit ConfigStore(ObjectStore &store);

    void create(const ConfigChange &change, std::function<void(CreateResult)> callback);
    void read(Revision revision, std::function<void(ReadResult, std::optional<ConfigChange>)> callback);
    /** Reads the highest number whose change may have been removed; the callback gets nothing when that failed. */
    void readFloor(std::function<void(std::optional<Revision>)> callback);
    /** Loads the last snapshot; the callback gets nullptr when it failed, revision 0 when there is no snapshot. */
    void loadSnapshot(std::function<void(ConfigurationPtr)> callback);
    /** Writes a snapshot, then removes the changes up to the snapshot before it. A failure is left to the next one. */
    void writeSnapshot(const ConfigurationPtr &configuration);

private:
    struct Manifest
    {
        Revision revision; ///< of the snapshot
        std::uint64_t chunks = 0;
        Revision floor; ///< of the snapshot before it
    };
    struct Upload
    {
        Manifest manifest;
        std::vector<std::string> chunks;
        std::size_t next = 0;
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
