#include "json_put.h"

void
json_put_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

void
json_put_int (JsonBuilder *builder, const char *name, int64_t value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

void
json_put_bool (JsonBuilder *builder, const char *name, bool value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_boolean_value (builder, value);
}
