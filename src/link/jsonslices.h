#ifndef POPLARROAD_LINK_JSONSLICES_H
#define POPLARROAD_LINK_JSONSLICES_H

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace poplarroad
{

/**
 * The text of one JSON value within a larger text.
 *
 * Its brackets and strings are closed. Nothing else is checked: numbers, escapes, UTF-8 and the order of commas inside it
 * may be invalid, and it may be several values without a comma between them.
 */
struct JsonSlice
{
    std::string_view text;
    std::size_t depth = 0; ///< nested arrays and objects, 0 for a number, a string or a literal
};

/** A member of a JSON object. */
struct JsonMember
{
    std::string_view key; ///< text between the quotes, with its escapes
    JsonSlice value;
};

/**
 * Splits an array without parsing its elements, so that an element that cannot be parsed does not hide the others.
 *
 * Takes time linear in the text and no memory besides the result.
 *
 * @return the elements, or std::nullopt if the text is not an array whose brackets and strings are closed
 */
std::optional<std::vector<JsonSlice>> sliceArray(std::string_view text);

/**
 * Splits an object without parsing the values of its members.
 *
 * @return the members in the order of the text, or std::nullopt if the text is not an object whose brackets and strings
 *     are closed
 */
std::optional<std::vector<JsonMember>> sliceObject(std::string_view text);

} // namespace poplarroad

#endif
