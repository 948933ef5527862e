#ifndef FIELDS_H
#define FIELDS_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Strict reading of one JSON object.  Every getter names the member it wants;
   the first thing found wrong is kept, later getters return defaults, and
   fields_close reports it, or the first member that nobody asked for.  The
   messages give the member's path and what to write instead. */

struct fields;

/* Start reading NODE, which stands at PATH in its file ("" for the top). */
struct fields *fields_open (JsonNode *node, const char *path);

/* Stop reading.  Return false with ERROR set if anything was wrong. */
bool fields_close (struct fields *fields, GError **error);

/* Return whether member NAME is there. */
bool fields_has (const struct fields *fields, const char *name);

/* Return a copy of string member NAME; FALLBACK if absent, or an error if
   FALLBACK is NULL.  The caller frees it. */
char *fields_string (struct fields *fields, const char *name,
                     const char *fallback);

/* Like fields_string, for a name of letters, digits, '-', '_' and '.'. */
char *fields_name (struct fields *fields, const char *name);

/* Return integer member NAME, which lies within MIN and MAX.  If FALLBACK is
   below MIN, the member has to be there. */
int64_t fields_int (struct fields *fields, const char *name, int64_t min,
                    int64_t max, int64_t fallback);

/* Return number member NAME, which lies within MIN and MAX.  If FALLBACK is
   below MIN, the member has to be there. */
double fields_double (struct fields *fields, const char *name, double min,
                      double max, double fallback);

/* Return truth member NAME, or FALLBACK. */
bool fields_bool (struct fields *fields, const char *name, bool fallback);

/* Return the place of string member NAME in CHOICES, which ends with NULL;
   FALLBACK if absent. */
int fields_choice (struct fields *fields, const char *name,
                   const char *const *choices, int fallback);

/* Return the number of elements of array member NAME, 0 if absent. */
guint fields_count (struct fields *fields, const char *name, guint max);

/* Return element INDEX of array member NAME, and its path in *PATH, which
   the caller frees. */
JsonNode *fields_element (struct fields *fields, const char *name, guint index,
                          char **path);

/* Return object member NAME with its path in *PATH, or NULL if absent. */
JsonNode *fields_object (struct fields *fields, const char *name, char **path);

/* Record that member NAME is wrong, and the REMEDY. */
void fields_wrong (struct fields *fields, const char *name,
                   const char *remedy);

/* Parse TEXT of LENGTH bytes from SOURCE (a file name for messages).  Return
   the root, which the caller frees with json_node_unref, or NULL. */
JsonNode *fields_parse (const char *text, gssize length, const char *source,
                        GError **error);

/* Read and parse the file FILENAME, which holds at most MAX_BYTES. */
JsonNode *fields_parse_file (const char *filename, gsize max_bytes,
                             GError **error);

#endif
