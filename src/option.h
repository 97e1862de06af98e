#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "anv_error.h"

/* option - settings from flags and environment variables, described by one table per program.
 *
 * Each setting is the flag --NAME and the environment variable ANVILLB_NAME (upper case, '-' as
 * '_'). The variable ANVILLB_SETTINGS_FILE may name a file with lines "ANVILLB_NAME=VALUE", empty
 * lines and comments that start with '#'. A flag overrides the environment, which overrides the
 * file, which overrides the default. Every value is checked against its type and range when it is
 * read; the error names the flag or variable, the value and what is allowed. Besides its table
 * every program has --check (checks the settings and exits), --help and --version. */

typedef enum
{
  OPTION_STRING,       /* char *; allocated */
  OPTION_INTEGER,      /* int64_t within min..max */
  OPTION_NUMBER,       /* double within min..max */
  OPTION_BOOL,         /* bool; the flag takes no value, the variable takes true or false */
  OPTION_ADDRESS,      /* char *; "IP:PORT" or "[IP6]:PORT", no host names */
  OPTION_LIST,         /* GPtrArray * of char *; comma-separated, and the flag may be repeated */
  OPTION_ADDRESS_LIST, /* as OPTION_LIST, each element an address */
  OPTION_ENUM,         /* int64_t index into choices */
} option_type_t;

typedef enum
{
  OPTION_ERROR_UNKNOWN = 1,
  OPTION_ERROR_VALUE,
  OPTION_ERROR_MISSING,
} option_error_t;

/* The fields are ordered for readers of the tables; their padding does not matter in a few static
 * tables. NOLINTNEXTLINE(clang-analyzer-optin.performance.Padding) */
typedef struct
{
  const char *name; /* long flag without dashes; NULL ends the table */
  option_type_t type;
  void *destination;         /* variable that is set; option_type_t gives its C type */
  const char *default_value; /* as text; NULL for none */
  double min;                /* for OPTION_INTEGER and OPTION_NUMBER */
  double max;
  const char *const *choices; /* for OPTION_ENUM, ends with NULL */
  bool required;
  const char *argument; /* name of the value in --help */
  const char *help;
} option_t;

typedef struct
{
  const char *program;
  const char *summary;    /* first line of --help */
  const char *positional; /* usage of positional arguments; NULL if none are taken */
  const option_t *options;
} option_table_t;

typedef struct
{
  bool check_only;    /* --check was given */
  int first_argument; /* index in argv of the first positional argument */
} option_result_t;

/* Reads the defaults, the settings file, the environment and ARGV in this order, and checks each
 * value and that required settings are given. --help and --version print and exit the process.
 * An unknown flag, a flag without its value or an unexpected argument prints an error and exits the
 * process with status 64 (EX_USAGE). Returns false with ANV_ERROR_OPTION for other errors. */
bool option_parse (const option_table_t *table, int argc, char **argv, option_result_t *result,
                   anv_error_t *err);

/* Returns the path of the settings file, or NULL if ANVILLB_SETTINGS_FILE is not set. */
const char *option_get_settings_path (void);

/* Reads the setting NAME, an OPTION_ADDRESS_LIST, from the current content of the settings file.
 * Returns a new array of char *, or NULL with ANV_ERROR_OPTION. Returns NULL without an error if
 * there is no settings file. */
GPtrArray *option_reload_addresses (const option_table_t *table, const char *name,
                                    anv_error_t *err);

/* Frees the values that option_parse() allocated. */
void option_free (const option_table_t *table);

/* Parses "IP:PORT" or "[IP6]:PORT" and stores the address without brackets in HOST, which has
 * HOST_SIZE bytes. Returns false if TEXT is malformed or does not fit. */
bool option_parse_address (const char *text, char *host, size_t host_size, uint16_t *port);

/* Returns whether TEXT is an address on the loopback interface. */
bool option_address_is_loopback (const char *text);
