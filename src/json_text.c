#include "json_text.h"

#include <string.h>

/* Maximum nesting of objects and arrays. */
#define MAX_DEPTH 64
/* Length of "\u0000". */
#define ESCAPE_LENGTH 6
#define HEX_DIGITS 4

static const char largest_number[] = "9223372036854775807";
#define LARGEST_NUMBER_DIGITS (sizeof largest_number - 1)
/* As short as the shortest number that a double can't hold. */
#define LARGE_DOUBLE "1e308"

/* Return whether C may occur outside a string in JSON. */
static bool
is_outside_string (char c)
{
  return g_ascii_isalnum (c)
         || (c != '\0' && strchr (" \t\r\n+-.,:{}[]", c) != NULL);
}

/* Return the length of the number or word at the begin of TEXT, without its
   sign. */
static gsize
token_length (const char *text, gsize size)
{
  gsize n = 0;

  while (n < size
         && (g_ascii_isalnum (text[n])
             || (text[n] != '\0' && strchr ("+-.", text[n]) != NULL)))
    n++;
  return n;
}

static bool
is_whole_number (const char *token, gsize length)
{
  for (gsize i = 0; i < length; i++)
    if (!g_ascii_isdigit (token[i]))
      return false;
  return length > 0;
}

/* Return whether TOKEN is a whole number of more than 64 bits. */
static bool
is_too_large (const char *token, gsize length)
{
  return length >= LARGEST_NUMBER_DIGITS && is_whole_number (token, length)
         && (length > LARGEST_NUMBER_DIGITS
             || memcmp (token, largest_number, length) > 0);
}

/* Return whether TOKEN is a number with an exponent that a double can't
   hold. */
static bool
is_infinite (const char *token, gsize length)
{
  char *copy;
  double value;

  if (!g_ascii_isdigit (token[0])
      || (memchr (token, 'e', length) == NULL
          && memchr (token, 'E', length) == NULL))
    return false;
  copy = g_strndup (token, length);
  value = g_ascii_strtod (copy, NULL);
  g_free (copy);
  return value > G_MAXDOUBLE;
}

/* Return why TOKEN, a number or a word, can't be read, or NULL. */
static const char *
find_unsafe_token (const char *token, gsize length)
{
  if (!g_ascii_isdigit (token[0]))
    return NULL;
  if (is_too_large (token, length))
    return "has a whole number of more than 64 bits; write a smaller one";
  if (memchr (token, 'x', length) != NULL
      || memchr (token, 'X', length) != NULL)
    return "has a hexadecimal number; write it in decimal";
  return NULL;
}

/* Return the code unit of the escape "\uXXXX" at the begin of TEXT, or -1 if
   there is none. */
static int
escaped_unit (const char *text, gsize size)
{
  int unit = 0;

  if (size < ESCAPE_LENGTH || text[0] != '\\' || text[1] != 'u')
    return -1;
  for (gsize i = ESCAPE_LENGTH - HEX_DIGITS; i < ESCAPE_LENGTH; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);

      if (digit < 0)
        return -1;
      unit = unit * 16 + digit;
    }
  return unit;
}

static bool
is_high_surrogate (int unit)
{
  return unit >= 0xd800 && unit < 0xdc00;
}

static bool
is_low_surrogate (int unit)
{
  return unit >= 0xdc00 && unit < 0xe000;
}

/* Return the length of the escape at the begin of TEXT.  Set *IS_CHARACTER to
   whether it stands for a character that a string may hold. */
static gsize
escape_length (const char *text, gsize size, bool *is_character)
{
  int unit = escaped_unit (text, size);

  *is_character = unit != 0 && !is_low_surrogate (unit);
  if (unit < 0)
    {
      *is_character = size > 1 && text[1] != '\0'
                      && strchr ("\"\\/bfnrt", text[1]) != NULL;
      return MIN (2, size);
    }
  if (!is_high_surrogate (unit))
    return ESCAPE_LENGTH;
  *is_character = is_low_surrogate (
      escaped_unit (text + ESCAPE_LENGTH, size - ESCAPE_LENGTH));
  return *is_character ? 2 * ESCAPE_LENGTH : ESCAPE_LENGTH;
}

/* Return the length of the string at the begin of TEXT with its quotation
   marks.  Set *IS_TEXT to whether all its escapes stand for characters. */
static gsize
string_length (const char *text, gsize size, bool *is_text)
{
  gsize n = 1;

  *is_text = true;
  while (n < size && text[n] != '"')
    {
      bool is_character = true;

      n += text[n] == '\\' ? escape_length (text + n, size - n, &is_character)
                           : 1;
      *is_text = *is_text && is_character;
    }
  return MIN (n + 1, size);
}

/* The parser also accepts comments, and a quotation mark in a comment could
   hide nesting from the count here, so characters that occur only in comments
   are refused. */
const char *
json_text_find_unsafe (const char *text, gsize size)
{
  int depth = 0;
  gsize length;

  for (gsize i = 0; i < size; i += length)
    {
      const char *reason = NULL;
      bool is_text = true;

      length = 1;
      if (text[i] == '"')
        length = string_length (text + i, size - i, &is_text);
      else if (!is_outside_string (text[i]))
        return "has a character that is not allowed outside a string; "
               "remove comments and unpaired quotation marks";
      else if (g_ascii_isalnum (text[i]))
        {
          length = token_length (text + i, size - i);
          reason = find_unsafe_token (text + i, length);
        }
      else if (text[i] == '{' || text[i] == '[')
        depth++;
      else if ((text[i] == '}' || text[i] == ']') && depth > 0)
        depth--;
      if (depth > MAX_DEPTH)
        return "is nested too deeply; nest it less";
      if (!is_text)
        return "has an escape that stands for no character; remove it";
      if (reason != NULL)
        return reason;
    }
  return NULL;
}

/* Overwrite TOKEN by NUMBER, which is not longer, and blanks. */
static void
replace_token (char *token, gsize length, const char *number)
{
  memset (token, ' ', length);
  for (gsize i = 0; number[i] != '\0'; i++)
    token[i] = number[i];
}

void
json_text_repair_numbers (char *text, gsize size)
{
  gsize length;

  for (gsize i = 0; i < size; i += length)
    {
      bool is_text;

      length = 1;
      if (text[i] == '"')
        length = string_length (text + i, size - i, &is_text);
      else if (g_ascii_isalnum (text[i]))
        {
          length = token_length (text + i, size - i);
          if (is_too_large (text + i, length))
            replace_token (text + i, length, largest_number);
          else if (is_infinite (text + i, length))
            replace_token (text + i, length, LARGE_DOUBLE);
        }
    }
}

/* Replace the escapes in the string TEXT that are well-formed but stand for no
   character. */
static void
repair_string (char *text, gsize length)
{
  static const char replacement[ESCAPE_LENGTH]
      = { '\\', 'u', 'f', 'f', 'f', 'd' };
  gsize step;

  for (gsize i = 1; i < length; i += step)
    {
      bool is_character = true;

      step = 1;
      if (text[i] != '\\')
        continue;
      step = escape_length (text + i, length - i, &is_character);
      if (!is_character && step == ESCAPE_LENGTH)
        memcpy (text + i, replacement, sizeof replacement);
    }
}

char *
json_text_repair_strings (const char *text, gsize *size)
{
  char *copy = g_utf8_make_valid (text, (gssize)*size);
  gsize length;

  *size = strlen (copy);
  for (gsize i = 0; i < *size; i += length)
    {
      bool is_text = true;

      length = 1;
      if (copy[i] != '"')
        continue;
      length = string_length (copy + i, *size - i, &is_text);
      if (!is_text)
        repair_string (copy + i, length);
    }
  return copy;
}
