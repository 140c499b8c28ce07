#include "link/configjson.h"
#include "link/wireenvelope.h"
#include "poplarroad/visitor.h"

namespace poplarroad
{

std::vector<PeerFrame> framesOf(const PeerConfigMessage &message)
{
    const auto partsOf = [](const ConfigSnapshot &snapshot) {
        // A chunk with a single object may exceed the limit, so half of the frame is left free for it.
        auto chunks = encodeConfiguration(*snapshot.configuration, MaxFrame / 2);
        std::vector<PeerFrame> frames;
        for (std::uint32_t part = 0; part < chunks.size(); ++part) {
            frames.emplace_back(SnapshotPart{ snapshot.configuration->revision(), part,
                                              static_cast<std::uint32_t>(chunks.size()), std::move(chunks[part]) });
        }
        return frames;
    };
    return std::visit(
        Visitor{
            partsOf,
            [](const auto &other) { return std::vector<PeerFrame>{ other }; },
        },
        message);
}

namespace wire
{

namespace
{

ConfigChanges readChanges(capnp::List<capnp::Text>::Reader from)
{
    ConfigChanges changes;
    for (const auto text : from) {
        auto change = decodeChange({ text.cStr(), text.size() });
        if (!change) {
            throw DecodeError{ WireError::InvalidValue };
        }
        changes.changes.push_back(std::move(*change));
    }
    return changes;
}

SnapshotPart readPart(schema::SnapshotPart::Reader from)
{
    const auto chunk = from.getChunk();
    SnapshotPart part{
        Revision{ from.getRevision() }, from.getPart(), from.getParts(), { chunk.cStr(), chunk.size() }
    };
    if (part.part >= part.parts) {
        throw DecodeError{ WireError::InvalidValue };
    }
    return part;
}

} // namespace

void writeConfig(schema::Envelope::Builder envelope, const ConfigRequest &request)
{
    envelope.setConfigRequest(request.after.value);
}

void writeConfig(schema::Envelope::Builder envelope, const ConfigChanges &changes)
{
    auto to = envelope.initConfigChanges(static_cast<unsigned>(changes.changes.size()));
    for (unsigned i = 0; i < to.size(); ++i) {
        to.set(i, encodeChange(changes.changes[i]));
    }
}

void writeConfig(schema::Envelope::Builder envelope, const SnapshotPart &part)
{
    auto to = envelope.initConfigSnapshot();
    to.setRevision(part.revision.value);
    to.setPart(part.part);
    to.setParts(part.parts);
    to.setChunk(part.chunk);
}

PeerFrame readConfig(schema::Envelope::Reader envelope)
{
    switch (envelope.which()) {
    case schema::Envelope::CONFIG_REQUEST:
        return ConfigRequest{ Revision{ envelope.getConfigRequest() } };
    case schema::Envelope::CONFIG_CHANGES:
        return readChanges(envelope.getConfigChanges());
    case schema::Envelope::CONFIG_SNAPSHOT:
        return readPart(envelope.getConfigSnapshot());
    default:
        throw DecodeError{ WireError::UnexpectedKind };
    }
}

} // namespace wire

} // namespace poplarroad
