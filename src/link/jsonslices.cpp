#include "link/jsonslices.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** Members of a usual object of the store; saves repeated allocations. */
constexpr std::size_t ExpectedMembers = 12;

/** Reads JSON values from a text one after the other, looking only at brackets, strings and separators. */
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : text_(text)
    {
    }

    void skipSpace()
    {
        while (position_ < text_.size() && isSpace(text_[position_])) {
            ++position_;
        }
    }

    bool atEnd() const
    {
        return position_ == text_.size();
    }

    /** Skips whitespace and then the character. @return whether the character was there */
    bool consume(char expected)
    {
        skipSpace();
        if (atEnd() || text_[position_] != expected) {
            return false;
        }
        ++position_;
        return true;
    }

    /** @return the text up to the next separator as a value, or std::nullopt if it is empty or not closed */
    std::optional<JsonSlice> value()
    {
        skipSpace();
        const std::size_t start = position_;
        std::size_t maxDepth = 0;
        std::size_t depth = 0;
        while (!atEnd() && (depth > 0 || !isSeparator(text_[position_]))) {
            switch (text_[position_]) {
            case '"':
                if (!skipString()) {
                    return std::nullopt;
                }
                break;
            case '[':
            case '{':
                maxDepth = std::max(maxDepth, ++depth);
                ++position_;
                break;
            case ']':
            case '}':
                --depth;
                ++position_;
                break;
            default:
                ++position_;
            }
        }
        std::size_t end = position_;
        while (end > start && isSpace(text_[end - 1])) {
            --end;
        }
        if (depth > 0 || end == start) {
            return std::nullopt;
        }
        return JsonSlice{ text_.substr(start, end - start), maxDepth };
    }

    /** @return the text between the quotes of the next value, or std::nullopt if it is not a closed string */
    std::optional<std::string_view> string()
    {
        skipSpace();
        const std::size_t start = position_;
        if (atEnd() || text_[position_] != '"' || !skipString()) {
            return std::nullopt;
        }
        return text_.substr(start + 1, position_ - start - 2);
    }

private:
    /** @return whether the byte ends a value that stands outside of brackets and strings */
    static bool isSeparator(char byte)
    {
        return byte == ',' || byte == ']' || byte == '}';
    }

    static bool isSpace(char byte)
    {
        return byte == ' ' || byte == '\n' || byte == '\t' || byte == '\r';
    }

    /** Moves behind the string that starts here. @return whether it is closed */
    bool skipString()
    {
        for (++position_; position_ < text_.size(); ++position_) {
            if (text_[position_] == '"') {
                ++position_;
                return true;
            }
            position_ += text_[position_] == '\\' ? 1 : 0;
        }
        position_ = text_.size();
        return false;
    }

    std::string_view text_;
    std::size_t position_ = 0;
};

/**
 * Reads a bracketed sequence that fills the whole text.
 *
 * @param readItem reads one item; returns whether it was complete
 * @return whether the sequence is complete
 */
template<typename ReadItem>
bool readSequence(std::string_view text, char open, char close, const ReadItem &readItem)
{
    Scanner scanner(text);
    if (!scanner.consume(open)) {
        return false;
    }
    if (!scanner.consume(close)) {
        do {
            if (!readItem(scanner)) {
                return false;
            }
        } while (scanner.consume(','));
        if (!scanner.consume(close)) {
            return false;
        }
    }
    scanner.skipSpace();
    return scanner.atEnd();
}

} // namespace

std::optional<std::vector<JsonSlice>> sliceArray(std::string_view text)
{
    std::vector<JsonSlice> elements;
    const bool complete = readSequence(text, '[', ']', [&](Scanner &scanner) {
        const auto element = scanner.value();
        if (element) {
            elements.push_back(*element);
        }
        return element.has_value();
    });
    return complete ? std::optional(std::move(elements)) : std::nullopt;
}

std::optional<std::vector<JsonMember>> sliceObject(std::string_view text)
{
    std::vector<JsonMember> members;
    members.reserve(ExpectedMembers);
    const bool complete = readSequence(text, '{', '}', [&](Scanner &scanner) {
        const auto key = scanner.string();
        const auto value = key && scanner.consume(':') ? scanner.value() : std::nullopt;
        if (value) {
            members.push_back({ *key, *value });
        }
        return value.has_value();
    });
    return complete ? std::optional(std::move(members)) : std::nullopt;
}

} // namespace poplarroad
