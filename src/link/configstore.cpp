#include "configstore.h"

#include "configjson.h"

#include <charconv>
#include <string_view>

namespace poplarroad
{

namespace
{

constexpr const char *ManifestKey = "config/manifest";
constexpr const char *SnapshotPrefix = "config/snapshot/";

std::string changeKey(Revision revision)
{
    return ConfigStore::ChangePrefix + std::to_string(revision.value);
}

/** @return the number that follows the prefix, or nothing if the key has another form */
std::optional<std::uint64_t> parseKeyNumber(std::string_view key, std::string_view prefix)
{
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    key.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    const auto result = std::from_chars(key.data(), key.data() + key.size(), number);
    return result.ec == std::errc() ? std::optional(number) : std::nullopt;
}

CreateResult createResultOf(const StoreWriteResult &write)
{
    if (!write.error) {
        return CreateResult::Written;
    }
    if (*write.error == StoreError::Exists) {
        return CreateResult::Taken;
    }
    return writeEffectOf(*write.error) == WriteEffect::MayBeApplied ? CreateResult::MayBeWritten
                                                                    : CreateResult::NotWritten;
}

} // namespace

ConfigStore::ConfigStore(ObjectStore &store)
    : store_(store)
{
}

void ConfigStore::create(const ConfigChange &change, std::function<void(CreateResult)> callback)
{
    store_.create(changeKey(change.revision), encodeChange(change),
                  [callback = std::move(callback)](const StoreWriteResult &write) { callback(createResultOf(write)); });
}

void ConfigStore::read(Revision revision, std::function<void(ReadResult, std::optional<ConfigChange>)> callback)
{
    store_.get(changeKey(revision), [revision, callback = std::move(callback)](const StoreReadResult &read) {
        if (read.error) {
            const bool absent = *read.error == StoreError::NotFound;
            callback(absent ? ReadResult::Absent : ReadResult::Failed, std::nullopt);
            return;
        }
        std::optional<ConfigChange> change = decodeChange(read.value);
        const bool valid = change && change->revision == revision;
        callback(valid ? ReadResult::Found : ReadResult::Failed, valid ? std::move(change) : std::nullopt);
    });
}

void ConfigStore::readFloor(std::function<void(std::optional<Revision>)> callback)
{
    store_.get(ManifestKey, [callback = std::move(callback)](const StoreReadResult &read) {
        if (read.error) {
            callback(*read.error == StoreError::NotFound ? std::optional(Revision{}) : std::nullopt);
            return;
        }
        const std::optional<Manifest> manifest = decodeManifest(read.value);
        callback(manifest ? std::optional(manifest->floor) : std::nullopt);
    });
}

std::optional<ConfigStore::Manifest> ConfigStore::decodeManifest(const std::string &text)
{
    const auto object = nlohmann::json::parse(text, nullptr, false);
    const auto isNumber = [&](const char *name) { return object.contains(name) && object[name].is_number_unsigned(); };
    if (!object.is_object() || !isNumber("revision") || !isNumber("chunks") || !isNumber("floor")) {
        return std::nullopt;
    }
    return Manifest{ Revision{ object["revision"].get<std::uint64_t>() }, object["chunks"].get<std::uint64_t>(),
                     Revision{ object["floor"].get<std::uint64_t>() } };
}

std::string ConfigStore::encodeManifest(const Manifest &manifest)
{
    const nlohmann::json object{ { "revision", manifest.revision.value },
                                 { "chunks", manifest.chunks },
                                 { "floor", manifest.floor.value } };
    return object.dump();
}

std::string ConfigStore::chunkKey(Revision revision, std::size_t index)
{
    return SnapshotPrefix + std::to_string(revision.value) + '/' + std::to_string(index);
}

void ConfigStore::writeSnapshot(const ConfigurationPtr &configuration)
{
    auto upload = std::make_shared<Upload>();
    upload->chunks = encodeConfiguration(*configuration, MaxChunkBytes);
    upload->manifest.revision = configuration->revision();
    upload->manifest.chunks = upload->chunks.size();
    uploadNextChunk(upload);
}

void ConfigStore::uploadNextChunk(const std::shared_ptr<Upload> &upload)
{
    if (upload->nextChunk == upload->chunks.size()) {
        publishManifest(upload);
        return;
    }
    const std::size_t index = upload->nextChunk++;
    store_.create(chunkKey(upload->manifest.revision, index), upload->chunks[index],
                  [this, upload](const StoreWriteResult &write) {
                      // If the chunk exists, another daemon wrote an identical one for the same revision.
                      if (!write.error || *write.error == StoreError::Exists) {
                          uploadNextChunk(upload);
                      }
                  });
}

void ConfigStore::publishManifest(const std::shared_ptr<Upload> &upload)
{
    store_.get(ManifestKey, [this, upload](const StoreReadResult &read) {
        if (read.error && *read.error != StoreError::NotFound) {
            return;
        }
        const auto written = [this, upload](const StoreWriteResult &write) {
            if (!write.error) {
                removeHistoryUpTo(upload->manifest.floor);
            }
        };
        if (read.error) {
            store_.create(ManifestKey, encodeManifest(upload->manifest), written);
            return;
        }
        const std::optional<Manifest> present = decodeManifest(read.value);
        if (present && present->revision < upload->manifest.revision) {
            upload->manifest.floor = present->revision;
            store_.put(ManifestKey, encodeManifest(upload->manifest), read.version, written);
        }
    });
}

void ConfigStore::removeHistoryUpTo(Revision floor)
{
    for (const char *prefix : { ChangePrefix, SnapshotPrefix }) {
        const bool isSnapshot = prefix == SnapshotPrefix;
        store_.list(prefix, [this, floor, prefix, isSnapshot](const StoreListResult &listed) {
            for (const std::string &key : listed.keys) {
                const std::optional<std::uint64_t> number = parseKeyNumber(key, prefix);
                // The snapshot at the floor is kept, since other daemons may still be loading it.
                if (number && (isSnapshot ? *number < floor.value : *number <= floor.value)) {
                    store_.remove(key, [](const StoreWriteResult &) {});
                }
            }
        });
    }
}

void ConfigStore::loadSnapshot(std::function<void(ConfigurationPtr)> callback)
{
    store_.get(ManifestKey, [this, callback = std::move(callback)](const StoreReadResult &read) {
        if (read.error) {
            const bool none = *read.error == StoreError::NotFound;
            callback(none ? std::make_shared<const Configuration>() : nullptr);
            return;
        }
        const std::optional<Manifest> manifest = decodeManifest(read.value);
        if (!manifest) {
            callback(nullptr);
            return;
        }
        downloadNextChunk(std::make_shared<Download>(Download{ *manifest, {}, callback }));
    });
}

void ConfigStore::downloadNextChunk(const std::shared_ptr<Download> &download)
{
    if (download->chunks.size() == download->manifest.chunks) {
        std::optional<Configuration> configuration = decodeConfiguration(download->chunks);
        const bool valid = configuration && configuration->revision() == download->manifest.revision;
        download->callback(valid ? std::make_shared<const Configuration>(std::move(*configuration)) : nullptr);
        return;
    }
    store_.get(chunkKey(download->manifest.revision, download->chunks.size()), [this, download](StoreReadResult read) {
        if (read.error) {
            download->callback(nullptr);
            return;
        }
        download->chunks.push_back(std::move(read.value));
        downloadNextChunk(download);
    });
}

} // namespace poplarroad
