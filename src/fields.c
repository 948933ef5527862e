#include "fields.h"

#include "error.h"
#include "json_text.h"

#include <stdio.h>
#include <string.h>

struct fields
{
  JsonObject *object; /* owned by the node; NULL if that is no object */
  char *path;
  GHashTable *read_names; /* set of the names that getters have read */
  GError *error;          /* the first error, or NULL */
};

static char *
member_path (const struct fields *fields, const char *name)
{
  if (fields->path[0] == '\0')
    return g_strdup (name);
  return g_strdup_printf ("%s.%s", fields->path, name);
}

void
fields_mark_invalid (struct fields *fields, const char *name,
                     const char *remedy)
{
  char *path;

  if (fields->error != NULL)
    return;
  path = member_path (fields, name);
  fields->error = g_error_new (SHED_ERROR, ERROR_INVALID,
                               "member \"%s\" is wrong: %s", path, remedy);
  g_free (path);
}

struct fields *
fields_open (JsonNode *node, const char *path)
{
  struct fields *f = g_new0 (struct fields, 1);

  f->path = g_strdup (path);
  f->read_names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    f->object = json_node_get_object (node);
  else
    f->error = g_error_new (SHED_ERROR, ERROR_INVALID,
                            "\"%s\" is not an object: write { ... }",
                            path[0] == '\0' ? "the whole text" : path);
  return f;
}

static void
check_unread_members (struct fields *fields)
{
  GList *names = json_object_get_members (fields->object);

  for (GList *l = names; l != NULL; l = l->next)
    if (!g_hash_table_contains (fields->read_names, l->data))
      {
        fields_mark_invalid (
            fields, l->data,
            "there is no such member; remove it or correct its "
            "spelling");
        break;
      }
  g_list_free (names);
}

bool
fields_close (struct fields *fields, GError **error)
{
  bool is_valid;

  if (fields->error == NULL && fields->object != NULL)
    check_unread_members (fields);
  is_valid = fields->error == NULL;
  if (!is_valid)
    g_propagate_error (error, fields->error);
  g_hash_table_unref (fields->read_names);
  g_free (fields->path);
  g_free (fields);
  return is_valid;
}

static JsonNode *
get_member (struct fields *fields, const char *name)
{
  JsonNode *node;

  g_hash_table_add (fields->read_names, g_strdup (name));
  if (fields->object == NULL)
    return NULL;
  node = json_object_get_member (fields->object, name);
  if (node != NULL && JSON_NODE_HOLDS_NULL (node))
    return NULL;
  return node;
}

bool
fields_has (const struct fields *fields, const char *name)
{
  return fields->object != NULL
         && json_object_has_member (fields->object, name);
}

char *
fields_string (struct fields *fields, const char *name, const char *fallback)
{
  JsonNode *node = get_member (fields, name);

  if (node == NULL)
    {
      if (fallback == NULL)
        fields_mark_invalid (fields, name, "it is missing; write a string");
      return g_strdup (fallback != NULL ? fallback : "");
    }
  if (!JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    {
      fields_mark_invalid (fields, name, "write a string");
      return g_strdup ("");
    }
  return json_node_dup_string (node);
}

static bool
is_name (const char *s)
{
  size_t n = strlen (s);

  if (n == 0 || n > 64)
    return false;
  for (; *s != '\0'; s++)
    if (!g_ascii_isalnum (*s) && strchr ("-_.", *s) == NULL)
      return false;
  return true;
}

char *
fields_name (struct fields *fields, const char *name)
{
  char *s = fields_string (fields, name, NULL);

  if (!is_name (s))
    fields_mark_invalid (fields, name,
                         "write 1 to 64 letters, digits, '-', '_' or '.'");
  return s;
}

int64_t
fields_int (struct fields *fields, const char *name, int64_t min, int64_t max,
            int64_t fallback)
{
  JsonNode *node = get_member (fields, name);
  int64_t value;
  char *remedy;

  if (node == NULL && fallback >= min)
    return fallback;
  remedy = g_strdup_printf ("write a whole number from %" G_GINT64_FORMAT
                            " to %" G_GINT64_FORMAT,
                            (gint64)min, (gint64)max);
  value = min;
  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_INT64)
    fields_mark_invalid (fields, name, remedy);
  else
    value = json_node_get_int (node);
  if (value < min || value > max)
    {
      fields_mark_invalid (fields, name, remedy);
      value = min;
    }
  g_free (remedy);
  return value;
}

double
fields_double (struct fields *fields, const char *name, double min, double max,
               double fallback)
{
  JsonNode *node = get_member (fields, name);
  double value;
  char *remedy;
  GType type;

  if (node == NULL && fallback >= min)
    return fallback;
  type = node != NULL && JSON_NODE_HOLDS_VALUE (node)
             ? json_node_get_value_type (node)
             : G_TYPE_INVALID;
  value = type == G_TYPE_INT64 || type == G_TYPE_DOUBLE
              ? json_node_get_double (node)
              : min - 1;
  if (value >= min && value <= max)
    return value;
  remedy = g_strdup_printf ("write a number from %g to %g", min, max);
  fields_mark_invalid (fields, name, remedy);
  g_free (remedy);
  return min;
}

bool
fields_bool (struct fields *fields, const char *name, bool fallback)
{
  JsonNode *node = get_member (fields, name);

  if (node == NULL)
    return fallback;
  if (!JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    {
      fields_mark_invalid (fields, name, "write true or false");
      return fallback;
    }
  return json_node_get_boolean (node);
}

int
fields_choice (struct fields *fields, const char *name,
               const char *const *choices, int fallback)
{
  char *s;
  char *choice_list;

  if (!fields_has (fields, name))
    {
      get_member (fields, name);
      return fallback;
    }
  s = fields_string (fields, name, NULL);
  for (int i = 0; choices[i] != NULL; i++)
    if (strcmp (choices[i], s) == 0)
      {
        g_free (s);
        return i;
      }
  g_free (s);
  choice_list = g_strjoinv (", ", (char **)choices);
  s = g_strdup_printf ("write one of %s", choice_list);
  fields_mark_invalid (fields, name, s);
  g_free (s);
  g_free (choice_list);
  return fallback;
}

guint
fields_count (struct fields *fields, const char *name, guint max)
{
  JsonNode *node = get_member (fields, name);
  guint n;

  if (node == NULL)
    return 0;
  if (!JSON_NODE_HOLDS_ARRAY (node))
    {
      fields_mark_invalid (fields, name, "write an array, [ ... ]");
      return 0;
    }
  n = json_array_get_length (json_node_get_array (node));
  if (n > max)
    {
      char *remedy = g_strdup_printf ("write at most %u elements", max);

      fields_mark_invalid (fields, name, remedy);
      g_free (remedy);
      return 0;
    }
  return n;
}

JsonNode *
fields_element (struct fields *fields, const char *name, guint index,
                char **path)
{
  JsonArray *array = json_object_get_array_member (fields->object, name);

  if (path != NULL)
    {
      char *base = member_path (fields, name);

      *path = g_strdup_printf ("%s[%u]", base, index);
      g_free (base);
    }
  return json_array_get_element (array, index);
}

JsonNode *
fields_object (struct fields *fields, const char *name, char **path)
{
  JsonNode *node = get_member (fields, name);

  *path = member_path (fields, name);
  return node;
}

JsonNode *
fields_parse (const char *text, gssize length, const char *source,
              GError **error)
{
  const char *reason;
  JsonParser *parser;
  GError *cause = NULL;
  JsonNode *root = NULL;

  if (text == NULL) /* the data of an empty GBytes */
    text = "";
  reason = json_text_find_unsafe (text,
                                  length < 0 ? strlen (text) : (gsize)length);
  if (reason != NULL)
    {
      g_set_error (error, SHED_ERROR, ERROR_INVALID, "%s is not JSON: it %s",
                   source, reason);
      return NULL;
    }
  parser = json_parser_new_immutable ();
  if (!json_parser_load_from_data (parser, text, length, &cause))
    {
      guint line = 0, column = 0;

      /* Only the place, "<data>:LINE:COLUMN:", is passed on: the rest quotes
         the text, which may hold keys. */
      if (sscanf (cause->message, "%*[^:]:%u:%u:", &line, &column) < 2)
        line = column = 0;
      g_set_error (error, SHED_ERROR, ERROR_INVALID,
                   "%s is not JSON: line %u, column %u can't be read; correct "
                   "that line",
                   source, line, column);
      g_error_free (cause);
    }
  else
    root = json_parser_steal_root (parser);
  if (root == NULL && error != NULL && *error == NULL)
    g_set_error (error, SHED_ERROR, ERROR_INVALID,
                 "%s is empty; write an object, { ... }", source);
  g_object_unref (parser);
  return root;
}

char *
fields_read_file (const char *filename, gsize max_bytes, gsize *length,
                  GError **error)
{
  char *text = NULL;
  GError *cause = NULL;

  if (!g_file_get_contents (filename, &text, length, &cause))
    {
      g_set_error (error, SHED_ERROR, ERROR_USAGE,
                   "can't read %s: %s; name a file that can be read", filename,
                   cause->message);
      g_error_free (cause);
      return NULL;
    }
  if (*length > max_bytes)
    {
      g_set_error (error, SHED_ERROR, ERROR_INVALID,
                   "%s holds %" G_GSIZE_FORMAT " bytes; write at most "
                   "%" G_GSIZE_FORMAT,
                   filename, *length, max_bytes);
      g_free (text);
      return NULL;
    }
  return text;
}

JsonNode *
fields_parse_file (const char *filename, gsize max_bytes, GError **error)
{
  gsize length = 0;
  char *text = fields_read_file (filename, max_bytes, &length, error);
  JsonNode *root;

  if (text == NULL)
    return NULL;
  root = fields_parse (text, (gssize)length, filename, error);
  g_free (text);
  return root;
}
