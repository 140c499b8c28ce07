#include "service/listcoverage.h"

#include <algorithm>

namespace poplarroad
{

ListCoverage::ListCoverage(Revision revision, std::vector<ListSegment> segments)
    : revision_(revision)
    , newest_(revision)
    , segments_(std::move(segments))
{
    for (const ListSegment &segment : segments_) {
        newest_ = std::max(newest_, segment.revision);
    }
    advance(revision);
}

Revision ListCoverage::revisionOf(std::string_view name) const
{
    if (segments_.empty()) {
        return revision_;
    }
    const auto segment =
        std::lower_bound(segments_.begin(), segments_.end() - 1, name,
                         [](const ListSegment &each, std::string_view wanted) { return each.lastName < wanted; });
    return std::max(revision_, segment->revision);
}

void ListCoverage::advance(Revision revision)
{
    revision_ = std::max(revision_, revision);
    if (revision_ >= newest_) {
        segments_.clear();
    }
}

} // namespace poplarroad
