#ifndef POPLARROAD_LINK_CONFIGJSON_H
#define POPLARROAD_LINK_CONFIGJSON_H

#include "poplarroad/configuration.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarroad
{

/** @return the edit as an object with one member, whose key is the kind of edit */
nlohmann::json toJson(const ConfigEdit &edit);
/** @return the edit, or nothing when the value is invalid; zones, services and targets are given by name or id */
std::optional<ConfigEdit> editFromJson(const nlohmann::json &json);

/** @return the change as JSON text */
std::string encodeChange(const ConfigChange &change);
/** @return the change, or nothing when the text is not a valid change */
std::optional<ConfigChange> decodeChange(std::string_view text);

/**
 * Encodes a configuration as JSON arrays. The encoding is deterministic: equal configurations give equal chunks in
 * every process.
 *
 * @param maxChunkBytes maximum length of a chunk in bytes; a chunk with a single object may exceed it
 * @return the chunks, each a JSON text
 */
std::vector<std::string> encodeConfiguration(const Configuration &configuration, std::size_t maxChunkBytes);
/** @return the configuration, or nothing when a chunk is malformed, missing or invalid */
std::optional<Configuration> decodeConfiguration(const std::vector<std::string> &chunks);

} // namespace poplarroad

#endif
