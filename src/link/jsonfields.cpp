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
