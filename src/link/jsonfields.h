#ifndef POPLARROAD_LINK_JSONFIELDS_H
#define POPLARROAD_LINK_JSONFIELDS_H

#include "link/jsonslices.h"
#include "poplarroad/enumnames.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarroad
{

/** Why a field of a JSON object cannot be read. */
enum class JsonFieldError : std::uint8_t {
    Missing,
    Unreadable, ///< invalid JSON or UTF-8
    WrongType,
    OutOfRange, ///< a number outside of the accepted range, or a text that is too long
};

template<>
struct EnumNames<JsonFieldError>
{
    static constexpr std::array table{
        EnumName<JsonFieldError>{ JsonFieldError::Missing, "missing" },
        EnumName<JsonFieldError>{ JsonFieldError::Unreadable, "unreadable" },
        EnumName<JsonFieldError>{ JsonFieldError::WrongType, "wrong-type" },
        EnumName<JsonFieldError>{ JsonFieldError::OutOfRange, "out-of-range" },
    };
};

/** @return the first position at or after `position` that is not within a character of UTF-8 */
std::size_t utf8Boundary(std::string_view text, std::size_t position);

/** The beginning of a text. */
struct TextPrefix
{
    std::string text;
    bool complete = true; ///< the text has no more bytes
};

/** Smallest and largest accepted value of an integer field, both included. */
struct IntegerRange
{
    std::int64_t min = 0;
    std::int64_t max = INT64_MAX;
};

/** Smallest and largest accepted value of a number with a fraction, both included. */
struct FractionRange
{
    double min = 0.0;
    double max = 1e9;
};

/**
 * Reads single fields of a JSON object. Fields that are not read may hold anything.
 *
 * A failed read returns std::nullopt and sets lastError() and lastField(). The text of the object has to outlive this.
 */
class JsonFields
{
public:
    /** Longest text that text() accepts, in bytes after decoding of the escapes. */
    static constexpr std::size_t MaxTextBytes = 1024;

    /** @return the fields of an object, or std::nullopt if the slice is not an object */
    static std::optional<JsonFields> of(std::string_view text);

    /** @return the decoded text */
    std::optional<std::string> text(std::string_view key);
    /**
     * Reads a text of any length. Bytes that are not UTF-8 and invalid escapes stay as they are.
     *
     * @return up to `maxBytes` of the decoded text, and the rest of the character there
     */
    std::optional<TextPrefix> textPrefix(std::string_view key, std::size_t maxBytes);
    /** @return the number; one that is written with a fraction or an exponent is accepted if it is whole */
    std::optional<std::int64_t> integer(std::string_view key, IntegerRange range = {});
    /** @return the number, `absent` if there is no such field */
    std::optional<std::int64_t> integerOr(std::string_view key, std::int64_t absent, IntegerRange range = {});
    /** @return the number, which may have a fraction */
    std::optional<double> fraction(std::string_view key, FractionRange range);
    /** @return the flag, `absent` if there is no such field */
    std::optional<bool> flagOr(std::string_view key, bool absent);
    /** @return the elements of an array */
    std::optional<std::vector<JsonSlice>> array(std::string_view key);
    /** @return the fields of a nested object */
    std::optional<JsonFields> object(std::string_view key);
    bool has(std::string_view key) const
    {
        return find(key) != nullptr;
    }
    /** @return the unread value, or nullptr if there is no such field */
    const JsonSlice *find(std::string_view key) const;
    /** @return why the last read failed */
    JsonFieldError lastError() const
    {
        return lastError_;
    }
    /** @return the key of the last read that failed */
    std::string_view lastField() const
    {
        return lastField_;
    }

private:
    explicit JsonFields(std::vector<JsonMember> members)
        : members_(std::move(members))
    {
    }

    /** Records the error. @return std::nullopt */
    std::nullopt_t fail(JsonFieldError error, std::string_view key);
    /** @return the value of a field; records the error if there is none */
    const JsonSlice *require(std::string_view key);

    std::vector<JsonMember> members_;
    JsonFieldError lastError_ = JsonFieldError::Missing;
    std::string_view lastField_;
};

} // namespace poplarroad

#endif
