#include "requeststore.h"

#include "contract/invariant.h"

#include <algorithm>

namespace poplarroad
{

void RequestRecord::addReturnPath(const ReturnPath &path)
{
    std::erase(returnPaths, path);
    // A feed has a single return path, since its caller has moved to the new one.
    const std::size_t maxPaths = isFeed() ? 1 : MaxReturnPaths;
    if (returnPaths.size() >= maxPaths) {
        returnPaths.erase(returnPaths.begin());
    }
    returnPaths.push_back(path);
}

RequestRecord *RequestStore::find(RequestId id)
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : found->second.get();
}

const CompletedRequest *RequestStore::findCompleted(RequestId id) const
{
    const auto found = completedIndex_.find(id);
    return found == completedIndex_.end() ? nullptr : &completed_[found->second - firstSerial_];
}

RequestRecord &RequestStore::add(std::unique_ptr<RequestRecord> record)
{
    justCompleted_.clear();
    const RequestId id = record->request.id;
    POPLARROAD_CHECK(!completedIndex_.contains(id));
    const auto [found, inserted] = records_.try_emplace(id, std::move(record));
    POPLARROAD_CHECK(inserted);
    active_.insert(id);
    return *found->second;
}

std::size_t RequestStore::bytesOf(const CompletedRequest &record)
{
    const auto *answer = std::get_if<AnswerMessage>(&record.reply);
    return sizeof(CompletedRequest) + (answer != nullptr ? answer->payload.capacity() : 0);
}

void RequestStore::complete(const RequestRecord &record, CallerReply reply, TimePoint now)
{
    POPLARROAD_CHECK(record.state == RequestState::Completed);
    const RequestId id = record.request.id;
    if (auto *answer = std::get_if<AnswerMessage>(&reply)) {
        answer->payload.shrink_to_fit();
    }
    completedIndex_[id] = firstSerial_ + completed_.size();
    completed_.push_back(
        { id, record.request.caller, record.contract.idempotent, now + RetentionTime, std::move(reply) });
    completedBytes_ += bytesOf(completed_.back());
    active_.erase(id);
    const auto found = records_.find(id);
    POPLARROAD_CHECK(found != records_.end());
    justCompleted_.push_back(std::move(found->second));
    records_.erase(found);
    while (completedBytes_ > MaxCompletedBytes && completed_.size() > 1) {
        dropOldest();
    }
}

void RequestStore::eraseCompleted(RequestId id)
{
    POPLARROAD_CHECK(!active_.contains(id));
    completedIndex_.erase(id);
}

void RequestStore::dropOldest()
{
    const auto found = completedIndex_.find(completed_.front().id);
    // The request may have run again and completed with a later serial number.
    if (found != completedIndex_.end() && found->second == firstSerial_) {
        completedIndex_.erase(found);
    }
    completedBytes_ -= bytesOf(completed_.front());
    completed_.pop_front();
    ++firstSerial_;
}

void RequestStore::expire(TimePoint now)
{
    justCompleted_.clear();
    while (!completed_.empty() && completed_.front().expiresAt <= now) {
        dropOldest();
    }
}

TimePoint RequestStore::nextExpiry() const
{
    return completed_.empty() ? TimePoint::max() : completed_.front().expiresAt;
}

} // namespace poplarroad
