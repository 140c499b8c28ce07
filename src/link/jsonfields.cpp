#include "link/jsonfields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace poplarroad
{

namespace
{

using Json = nlohmann::json;

/** Numbers that are written with a fraction or an exponent are exact up to this magnitude. */
constexpr double MaxExactInteger = 9007199254740992.0;
/** A number or a text with escapes is not longer than this for any accepted value. */
constexpr std::size_t MaxScalarBytes = 6 * JsonFields::MaxTextBytes + 2;

/** @return the parsed scalar; discarded if it is invalid, nested or too long */
Json parseScalar(const JsonSlice &slice)
{
    if (slice.depth > 0 || slice.text.size() > MaxScalarBytes) {
        return Json(Json::value_t::discarded);
    }
    return Json::parse(slice.text, nullptr, false);
}

/** @return whether the text between quotes stands for itself: printable ASCII without escapes */
bool isPlain(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char byte) { return byte >= ' ' && byte <= '~' && byte != '\\' && byte != '"'; });
}

/** @param text begins with a backslash. @return the length of the escape sequence, of both for a surrogate pair */
std::size_t escapeLength(std::string_view text)
{
    constexpr std::size_t shortEscape = 2;
    constexpr std::size_t unicodeEscape = 6;
    if (text.size() < unicodeEscape || text[1] != 'u') {
        return std::min(text.size(), shortEscape);
    }
    constexpr std::string_view highSurrogates = "89abAB";
    const bool high = (text[2] == 'd' || text[2] == 'D') && highSurrogates.find(text[3]) != std::string_view::npos;
    const bool pair = high && text.substr(unicodeEscape).starts_with("\\u") && text.size() >= 2 * unicodeEscape;
    return pair ? 2 * unicodeEscape : unicodeEscape;
}

/** @return the characters of an escape sequence, or the sequence itself if it is invalid */
std::string decodedEscape(std::string_view sequence)
{
    const Json value = Json::parse('"' + std::string(sequence) + '"', nullptr, false);
    return value.is_string() ? value.get<std::string>() : std::string(sequence);
}

/** @return the number if it is written as digits only, as nearly all are; std::nullopt for any other form */
std::optional<std::int64_t> plainInteger(std::string_view text)
{
    const bool leadingZero = text.size() > 1 && text.front() == '0';
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool valid = error == std::errc() && end == text.data() + text.size() && !leadingZero && number >= 0;
    return valid ? std::optional(number) : std::nullopt;
}

/** @return the value of a number if it is whole and fits */
std::optional<std::int64_t> wholeNumber(const Json &value)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        return number <= INT64_MAX ? std::optional(static_cast<std::int64_t>(number)) : std::nullopt;
    }
    if (value.is_number_integer()) {
        return value.get<std::int64_t>();
    }
    const auto number = value.get<double>();
    const bool whole = std::abs(number) <= MaxExactInteger && std::trunc(number) == number;
    return whole ? std::optional(static_cast<std::int64_t>(number)) : std::nullopt;
}

} // namespace

std::size_t utf8Boundary(std::string_view text, std::size_t position)
{
    constexpr unsigned mask = 0xc0;
    constexpr unsigned continuation = 0x80;
    constexpr std::size_t maxContinuations = 3;
    std::size_t boundary = std::min(position, text.size());
    for (std::size_t i = 0; i < maxContinuations && boundary < text.size(); ++i) {
        if ((static_cast<unsigned char>(text[boundary]) & mask) != continuation) {
            break;
        }
        ++boundary;
    }
    return boundary;
}

std::optional<JsonFields> JsonFields::of(std::string_view text)
{
    auto members = sliceObject(text);
    return members ? std::optional(JsonFields(std::move(*members))) : std::nullopt;
}

const JsonSlice *JsonFields::find(std::string_view key) const
{
    const auto found =
        std::find_if(members_.begin(), members_.end(), [&](const JsonMember &member) { return member.key == key; });
    return found == members_.end() ? nullptr : &found->value;
}

std::nullopt_t JsonFields::fail(JsonFieldError error, std::string_view key)
{
    lastError_ = error;
    lastField_ = key;
    return std::nullopt;
}

const JsonSlice *JsonFields::require(std::string_view key)
{
    const JsonSlice *const slice = find(key);
    if (!slice) {
        fail(JsonFieldError::Missing, key);
    }
    return slice;
}

std::optional<std::string> JsonFields::text(std::string_view key)
{
    const JsonSlice *const slice = require(key);
    if (!slice) {
        return std::nullopt;
    }
    if (!slice->text.starts_with('"')) {
        return fail(JsonFieldError::WrongType, key);
    }
    if (slice->text.size() > MaxScalarBytes) {
        return fail(JsonFieldError::OutOfRange, key);
    }
    constexpr std::size_t quotes = 2;
    if (slice->text.size() >= quotes) {
        const std::string_view content = slice->text.substr(1, slice->text.size() - quotes);
        if (content.size() <= MaxTextBytes && slice->text.ends_with('"') && isPlain(content)) {
            return std::string(content);
        }
    }
    const Json value = parseScalar(*slice);
    if (!value.is_string()) {
        return fail(JsonFieldError::Unreadable, key);
    }
    auto text = value.get<std::string>();
    if (text.size() > MaxTextBytes) {
        return fail(JsonFieldError::OutOfRange, key);
    }
    return text;
}

std::optional<TextPrefix> JsonFields::textPrefix(std::string_view key, std::size_t maxBytes)
{
    const JsonSlice *const slice = require(key);
    if (!slice) {
        return std::nullopt;
    }
    constexpr std::size_t quotes = 2;
    if (slice->text.size() < quotes || !slice->text.starts_with('"') || !slice->text.ends_with('"')) {
        return fail(JsonFieldError::WrongType, key);
    }
    std::string_view rest = slice->text.substr(1, slice->text.size() - quotes);
    TextPrefix prefix;
    while (!rest.empty() && prefix.text.size() < maxBytes) {
        std::size_t length = 0;
        if (rest.front() == '\\') {
            length = escapeLength(rest);
            prefix.text += decodedEscape(rest.substr(0, length));
        } else {
            const std::size_t plain = std::min(rest.find('\\'), rest.size());
            length = utf8Boundary(rest.substr(0, plain), maxBytes - prefix.text.size());
            prefix.text += rest.substr(0, length);
        }
        rest.remove_prefix(length);
    }
    prefix.complete = rest.empty();
    return prefix;
}

std::optional<std::int64_t> JsonFields::integer(std::string_view key, IntegerRange range)
{
    const JsonSlice *const slice = require(key);
    if (!slice) {
        return std::nullopt;
    }
    if (const auto plain = plainInteger(slice->text)) {
        return *plain >= range.min && *plain <= range.max ? plain : fail(JsonFieldError::OutOfRange, key);
    }
    const Json value = parseScalar(*slice);
    if (!value.is_number()) {
        // A number that exceeds the range of floating point, such as 1e999, is invalid for the parser.
        return fail(value.is_discarded() && slice->depth == 0 ? JsonFieldError::Unreadable : JsonFieldError::WrongType,
                    key);
    }
    const auto number = wholeNumber(value);
    if (!number || *number < range.min || *number > range.max) {
        return fail(JsonFieldError::OutOfRange, key);
    }
    return number;
}

std::optional<std::int64_t> JsonFields::integerOr(std::string_view key, std::int64_t absent, IntegerRange range)
{
    return has(key) ? integer(key, range) : std::optional(absent);
}

std::optional<double> JsonFields::fraction(std::string_view key, FractionRange range)
{
    const JsonSlice *const slice = require(key);
    if (!slice) {
        return std::nullopt;
    }
    const Json value = parseScalar(*slice);
    if (!value.is_number()) {
        return fail(value.is_discarded() && slice->depth == 0 ? JsonFieldError::Unreadable : JsonFieldError::WrongType,
                    key);
    }
    const auto number = value.get<double>();
    if (!(number >= range.min && number <= range.max)) {
        return fail(JsonFieldError::OutOfRange, key);
    }
    return number;
}

std::optional<bool> JsonFields::flagOr(std::string_view key, bool absent)
{
    const JsonSlice *const slice = find(key);
    if (!slice) {
        return absent;
    }
    if (slice->text != "true" && slice->text != "false") {
        return fail(JsonFieldError::WrongType, key);
    }
    return slice->text == "true";
}

std::optional<std::vector<JsonSlice>> JsonFields::array(std::string_view key)
{
    const JsonSlice *const slice = require(key);
    if (!slice) {
        return std::nullopt;
    }
    auto elements = sliceArray(slice->text);
    if (!elements) {
        return fail(slice->text.starts_with('[') ? JsonFieldError::Unreadable : JsonFieldError::WrongType, key);
    }
    return elements;
}

std::optional<JsonFields> JsonFields::object(std::string_view key)
{
    const JsonSlice *const slice = require(key);
    if (!slice) {
        return std::nullopt;
    }
    auto fields = of(slice->text);
    if (!fields) {
        return fail(slice->text.starts_with('{') ? JsonFieldError::Unreadable : JsonFieldError::WrongType, key);
    }
    return fields;
}

} // namespace poplarroad
