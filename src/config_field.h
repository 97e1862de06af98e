#pragma once

#include "anv_error.h"
#include "config_doc.h"
#include "json_slice.h"
#include "json_util.h"

/* config_field - table-driven check of the members of one configuration object. */

typedef enum
{
  FIELD_END,
  FIELD_UINT32,
  FIELD_DOUBLE,
  FIELD_BOOL,
  FIELD_OTHER, /* known key whose value the caller checks */
} field_kind_t;

typedef struct
{
  const char *key;
  field_kind_t kind;
  bool required;
  size_t offset; /* of the member in the struct that is filled */
  double min;
  double max;
  double fallback;
} field_t;

/* Position in the document, for errors. */
typedef struct
{
  anv_error_t *err;
  char path[CONFIG_MAX_NAME_SIZE + 64]; /* of the current element, e.g. "$.routes[3]" */
} field_context_t;

/* Sets the error "PATH.KEY: RULE" and returns false; KEY may be NULL. */
bool field_error (const field_context_t *context, const char *key, const char *rule, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Checks the members of OBJECT against FIELDS, which ends with FIELD_END, and stores them in the
 * struct at OUT, absent ones with their fallback. */
bool field_read (const field_context_t *context, const cJSON *object, const field_t *fields,
                 void *out);

/* Parses VALUE, which must be an object with keys in canonical order. Returns NULL with an error.
 */
cJSON *field_parse_object (const field_context_t *context, json_slice_t value);

/* Returns whether SIZE bytes are a name: letters, digits and "._-:@", at most CONFIG_MAX_NAME_SIZE.
 * Such a name has the same bytes in JSON text. */
bool field_is_name (const char *text, size_t size);

/* Returns whether TEXT is a host without port. */
bool field_is_host (const char *text);

/* Returns the rule that PREFIX breaks, or NULL. A valid prefix has one spelling only. */
const char *field_prefix_rule (const char *prefix);
