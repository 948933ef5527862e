#ifndef JSON_PUT_H
#define JSON_PUT_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Add a member called NAME to the object that BUILDER is in. */

void json_put_string (JsonBuilder *builder, const char *name,
                      const char *value);
void json_put_int (JsonBuilder *builder, const char *name, int64_t value);
void json_put_bool (JsonBuilder *builder, const char *name, bool value);

#endif
