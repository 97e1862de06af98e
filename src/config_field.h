#pragma once

#include "anv_error.h"
#include "config_doc.h"
#include "json_slice.h"
#include "json_util.h"

/* config_field - table-driven check of the members of a configuration object. */

typedef enum
{
  FIELD_END,
  FIELD_UINT32,
  FIELD_DOUBLE,
  FIELD_BOOL,
  FIELD_CUSTOM, /* known key; the caller checks and stores the value */
} field_kind_t;

typedef struct
{
  const char *key;
  field_kind_t kind;
  bool required;
  size_t offset; /* in the struct that field_read_object() fills */
  double min;    /* bounds of numbers, inclusive */
  double max;
  double default_value; /* stored if the key is absent and not required */
} field_t;

/* Where errors are stored, and the position in the document that they state. */
typedef struct
{
  anv_error_t *err;
  char path[CONFIG_MAX_NAME_SIZE + 64]; /* of the current element, e.g. "$.routes[3]" */
} field_context_t;

/* Sets the error "PATH.KEY: RULE" and returns false; KEY may be NULL. */
bool field_set_error (const field_context_t *context, const char *key, const char *rule, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Checks the members of OBJECT against FIELDS, which ends with FIELD_END, and stores them in the
 * struct at OUT. Absent members get their default value. Returns false with an error if a key is
 * unknown, required but missing, or has an invalid value. */
bool field_read_object (const field_context_t *context, const cJSON *object, const field_t *fields,
                        void *out);

/* Parses VALUE, which must be an object with keys in canonical order. Returns NULL with an error if
 * it is not. Free with cJSON_Delete(). */
cJSON *field_parse_object (const field_context_t *context, json_slice_t value);

/* Returns whether the SIZE bytes at TEXT are a valid name: 1 to CONFIG_MAX_NAME_SIZE letters,
 * digits or characters of "._-:@". JSON does not escape these, so a name has the same bytes in the
 * text. */
bool field_is_name (const char *text, size_t size);

/* Returns whether TEXT has only characters of a host name or IPv4 address, or of an IPv6 address in
 * brackets, without a port. */
bool field_is_host (const char *text);

/* Returns the rule that PREFIX breaks, or NULL if it is valid. A valid prefix is normalized as in
 * route_table, except for letter case. */
const char *field_check_prefix (const char *prefix);
