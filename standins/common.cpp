#include "common.h"

#include <cmath>
#include <sstream>

namespace poplarroad::standins
{

Microseconds randomDuration(Distribution distribution, Microseconds mean, std::mt19937_64 &random)
{
    constexpr double sigma = 0.5;
    const auto meanUs = static_cast<double>(mean.count());
    double resultUs = meanUs;
    if (distribution == Distribution::Exponential) {
        resultUs = std::exponential_distribution<double>(1.0 / std::max(meanUs, 1.0))(random);
    } else if (distribution == Distribution::Lognormal) {
        resultUs =
            std::lognormal_distribution<double>(std::log(std::max(meanUs, 1.0)) - sigma * sigma / 2, sigma)(random);
    }
    return Microseconds(static_cast<std::int64_t>(resultUs));
}

std::string answerPayload(std::string_view target, const RequestId &id, std::uint64_t position, std::size_t size)
{
    std::string payload = std::string(target) + ' ' + std::to_string(id.flow.value) + ' ' + std::to_string(id.sequence)
        + ' ' + std::to_string(position) + ' ' + std::to_string(size) + ' ';
    // Each letter depends on its offset and the request, so that chunks of different answers cannot be mixed unnoticed.
    for (std::size_t i = payload.size(); i < size; ++i) {
        payload += static_cast<char>('a' + (i * 7 + id.flow.value + id.sequence * 3 + i / 1000) % 26);
    }
    return payload;
}

std::optional<std::string> parseAnswerPayload(std::string_view payload, const RequestId &id, std::uint64_t position)
{
    std::istringstream head{ std::string(payload.substr(0, 200)) };
    std::string target;
    std::uint64_t skipped = 0;
    std::size_t size = 0;
    head >> target >> skipped >> skipped >> skipped >> size;
    if (!head || size > payload.size() + 200 || payload != answerPayload(target, id, position, size)) {
        return std::nullopt;
    }
    return target;
}

Ledger::Ledger(const std::string &path)
{
    if (!path.empty()) {
        file_.open(path, std::ios::app);
    }
}

void Ledger::write(std::string_view event, const RequestId &id, std::string_view detail)
{
    if (file_.is_open()) {
        const auto time = std::chrono::steady_clock::now().time_since_epoch();
        file_ << event << ' ' << id.flow.value << ' ' << id.sequence << ' '
              << std::chrono::duration_cast<Microseconds>(time).count() << ' ' << detail << '\n';
    }
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        items.emplace_back(text.substr(0, comma));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return items;
}

} // namespace poplarroad::standins
