#ifndef FIELDS_H
#define FIELDS_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A strict reader of one JSON object.  Each getter reads one member by its
   name; after an error the getters still return valid values, so a caller
   checks for errors once, at fields_close.  That reports the first error, or
   else the first member that no getter has read.  Messages give the path of
   the member and what to write instead. */

struct fields;

/* Start reading the object NODE, whose path in its file is PATH ("" for the
   root); messages begin with PATH, which is copied.  fields_close frees the
   result. */
struct fields *fields_open (JsonNode *node, const char *path);

/* Free FIELDS.  Return false with ERROR set if anything was invalid. */
bool fields_close (struct fields *fields, GError **error);

/* Return whether there is a member NAME, even one that is null. */
bool fields_has (const struct fields *fields, const char *name);

/* Return a copy of string member NAME; FALLBACK if absent, or an error if
   FALLBACK is NULL.  The caller frees it. */
char *fields_string (struct fields *fields, const char *name,
                     const char *fallback);

/* Return a copy of string member NAME, which has to be a name of 1 to 64
   letters, digits, '-', '_' and '.'.  The caller frees it. */
char *fields_name (struct fields *fields, const char *name);

/* Return integer member NAME, which has to be from MIN to MAX; FALLBACK if
   absent.  If FALLBACK is below MIN, the member is required. */
int64_t fields_int (struct fields *fields, const char *name, int64_t min,
                    int64_t max, int64_t fallback);

/* Return number member NAME, which has to be from MIN to MAX; FALLBACK if
   absent.  If FALLBACK is below MIN, the member is required. */
double fields_double (struct fields *fields, const char *name, double min,
                      double max, double fallback);

/* Return Boolean member NAME; FALLBACK if absent. */
bool fields_bool (struct fields *fields, const char *name, bool fallback);

/* Return the index of string member NAME in CHOICES, which ends with NULL;
   FALLBACK if absent. */
int fields_choice (struct fields *fields, const char *name,
                   const char *const *choices, int fallback);

/* Return the number of elements of array member NAME, 0 if absent.  More than
   MAX are an error. */
guint fields_count (struct fields *fields, const char *name, guint max);

/* Return element INDEX of array member NAME, which the object keeps, and its
   path in *PATH, which the caller frees; PATH may be NULL. */
JsonNode *fields_element (struct fields *fields, const char *name, guint index,
                          char **path);

/* Return object member NAME, which the object keeps, or NULL if absent, and
   its path in *PATH, which the caller frees. */
JsonNode *fields_object (struct fields *fields, const char *name, char **path);

/* Record that member NAME is invalid and what to write instead, REMEDY.  Only
   the first error is kept. */
void fields_mark_invalid (struct fields *fields, const char *name,
                          const char *remedy);

/* Parse the JSON TEXT of LENGTH bytes (-1: up to the zero byte) from SOURCE, a
   file name for messages.  Return the root, which the caller frees with
   json_node_unref, or NULL with ERROR set. */
JsonNode *fields_parse (const char *text, gssize length, const char *source,
                        GError **error);

/* Return the text of the file FILENAME, which has to hold at most MAX_BYTES,
   and its LENGTH, or NULL with ERROR set.  The caller frees it. */
char *fields_read_file (const char *filename, gsize max_bytes, gsize *length,
                        GError **error);

/* Read and parse the file FILENAME, which has to hold at most MAX_BYTES, as
   fields_parse does. */
JsonNode *fields_parse_file (const char *filename, gsize max_bytes,
                             GError **error);

#endif
