#ifndef JSON_TEXT_H
#define JSON_TEXT_H

#include <glib.h>
#include <stdbool.h>

/* Checks and repairs of JSON from other programs, before it is parsed. */

/* Return why the parser must not be given TEXT, as part of a sentence, or NULL
   if it may be.  The parser recurses, so deep nesting would overflow its
   stack; it wraps whole numbers of more than 64 bits; and it ends or corrupts
   a string at an escape that stands for no character. */
const char *json_text_find_unsafe (const char *text, gsize size);

/* Replace in TEXT each whole number of more than 64 bits by the nearest one
   that fits, and each number that a double can't hold by a large one. */
void json_text_repair_numbers (char *text, gsize size);

/* Return a copy of TEXT, whose size is stored in *SIZE, in which U+FFFD stands
   for bytes that are not UTF-8 and for "\uXXXX" without a character.
   The caller frees it. */
char *json_text_repair_strings (const char *text, gsize *size);

#endif
