#pragma once

#include <stdbool.h>

/* anv_error - error struct that the caller passes and the failing function sets.
 *
 * Each layer reports errors of its own domain. A layer that gets an error from the layer below
 * converts it with anv_error_wrap(), which appends the lower text to the new one. All functions
 * accept a NULL error, for callers that only need the return value. */

/* Layer that reports the error. */
typedef enum
{
  ANV_ERROR_NONE = 0,
  ANV_ERROR_OPTION,
  ANV_ERROR_TASK,
  ANV_ERROR_FRAME,
  ANV_ERROR_WIRE,
  ANV_ERROR_LINK,
  ANV_ERROR_HTTP,
  ANV_ERROR_CONFIG,
  ANV_ERROR_STORAGE,
  ANV_ERROR_RAFT,
  ANV_ERROR_VERSION,
  ANV_ERROR_CLAIM,
  ANV_ERROR_MEMBERSHIP,
  ANV_ERROR_CTL,
} anv_error_domain_t;

/* Size of the error text in bytes, with the terminating null. */
#define ANV_ERROR_TEXT_SIZE 512

typedef struct
{
  anv_error_domain_t domain;
  int code; /* value of the error enum of the domain; 0 if it has none */
  char text[ANV_ERROR_TEXT_SIZE];
} anv_error_t;

/* Resets ERR to ANV_ERROR_NONE with an empty text. */
void anv_error_clear (anv_error_t *err);

/* Returns whether ERR holds an error. */
bool anv_error_is_set (const anv_error_t *err);

/* Sets ERR. Text that does not fit is truncated. */
void anv_error_set (anv_error_t *err, anv_error_domain_t domain, int code, const char *fmt, ...)
    __attribute__ ((format (printf, 4, 5)));

/* Replaces the error of a lower layer by one of this layer, with the text "new text: lower text".
 * Text that does not fit is truncated. */
void anv_error_wrap (anv_error_t *err, anv_error_domain_t domain, int code, const char *fmt, ...)
    __attribute__ ((format (printf, 4, 5)));

/* Returns the lower-case name of DOMAIN, or "unknown" for a value outside the enum. */
const char *anv_error_domain_name (anv_error_domain_t domain);
