#include "option.h"

#include <argp.h>
#include <errno.h>
#include <gio/gio.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* argp takes a key below 128 as a short flag; all flags of the tables are long. */
#define FIRST_FLAG_KEY 1000
#define CHECK_FLAG_KEY 900

#define SETTINGS_FILE_VARIABLE "ANVILLB_SETTINGS_FILE"

/* argp reads the version from a global variable. */
static char *version_text;

typedef struct
{
  const option_table_t *table;
  option_result_t *result;
  bool *set_by_flag;
  anv_error_t *err;
  bool failed;
} parse_state_t;

static size_t
count_options (const option_table_t *table)
{
  size_t count = 0;
  while (table->options[count].name != NULL)
    count++;
  return count;
}

static char *
environment_name (const char *name)
{
  g_autofree char *upper = g_ascii_strup (name, -1);
  g_strdelimit (upper, "-", '_');
  return g_strconcat ("ANVILLB_", upper, NULL);
}

static bool
set_value_error (const char *source, const char *value, const char *allowed, anv_error_t *err)
{
  anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_VALUE,
                 "%s: value '%s' is not allowed: expected %s", source, value, allowed);
  return false;
}

bool
option_parse_address (const char *text, char *host, size_t host_size, uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  if (colon == NULL || colon == text || colon[1] < '0' || colon[1] > '9')
    return false;

  char *end = NULL;
  unsigned long number = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || number > UINT16_MAX)
    return false;

  const char *start = text;
  size_t length = (size_t)(colon - text);
  bool bracketed = text[0] == '[' && colon[-1] == ']';
  if (bracketed)
    {
      start++;
      length -= 2;
    }
  if (length == 0 || length >= host_size)
    return false;
  memcpy (host, start, length);
  host[length] = '\0';
  if (!bracketed && strchr (host, ':') != NULL)
    return false;
  *port = (uint16_t)number;
  return g_hostname_is_ip_address (host);
}

bool
option_address_is_loopback (const char *text)
{
  char host[64];
  uint16_t port;
  if (!option_parse_address (text, host, sizeof (host), &port))
    return false;
  g_autoptr (GInetAddress) address = g_inet_address_new_from_string (host);
  return address != NULL && g_inet_address_get_is_loopback (address);
}

static bool
check_address (const char *source, const char *value, anv_error_t *err)
{
  char host[64];
  uint16_t port;
  if (!option_parse_address (value, host, sizeof (host), &port))
    return set_value_error (source, value, "IP:PORT with a numeric address", err);
  return true;
}

static bool
store_number (const option_t *option, const char *source, const char *value, anv_error_t *err)
{
  char allowed[96];
  char *end = NULL;

  errno = 0;
  double number = 0;
  int64_t integer = 0;
  if (option->type == OPTION_INTEGER)
    {
      integer = g_ascii_strtoll (value, &end, 10);
      number = (double)integer;
      g_snprintf (allowed, sizeof (allowed), "an integer from %.0f to %.0f", option->min,
                  option->max);
    }
  else
    {
      number = g_ascii_strtod (value, &end);
      g_snprintf (allowed, sizeof (allowed), "a number from %g to %g", option->min, option->max);
    }
  bool complete = end != value && *end == '\0' && errno == 0;
  if (!complete || !(number >= option->min && number <= option->max))
    return set_value_error (source, value, allowed, err);
  if (option->type == OPTION_INTEGER)
    *(int64_t *)option->destination = integer;
  else
    *(double *)option->destination = number;
  return true;
}

static bool
store_bool (const option_t *option, const char *source, const char *value, anv_error_t *err)
{
  bool yes = strcmp (value, "true") == 0;
  if (!yes && strcmp (value, "false") != 0)
    return set_value_error (source, value, "true or false", err);
  *(bool *)option->destination = yes;
  return true;
}

static bool
store_enum (const option_t *option, const char *source, const char *value, anv_error_t *err)
{
  for (int64_t i = 0; option->choices[i] != NULL; i++)
    {
      if (strcmp (option->choices[i], value) == 0)
        {
          *(int64_t *)option->destination = i;
          return true;
        }
    }
  g_autofree char *allowed = g_strjoinv (", ", (char **)option->choices);
  g_autofree char *text = g_strconcat ("one of ", allowed, NULL);
  return set_value_error (source, value, text, err);
}

static bool
store_list (const option_t *option, const char *source, const char *value, bool append,
            anv_error_t *err)
{
  GPtrArray **list = option->destination;
  if (*list == NULL)
    *list = g_ptr_array_new_with_free_func (g_free);
  if (!append)
    g_ptr_array_set_size (*list, 0);

  g_auto (GStrv) parts = g_strsplit (value, ",", -1);
  for (char **part = parts; *part != NULL; part++)
    {
      if (**part == '\0')
        continue;
      if (option->type == OPTION_ADDRESS_LIST && !check_address (source, *part, err))
        return false;
      g_ptr_array_add (*list, g_strdup (*part));
    }
  return true;
}

static bool
store_value (const option_t *option, const char *source, const char *value, bool append,
             anv_error_t *err)
{
  switch (option->type)
    {
    case OPTION_INTEGER:
    case OPTION_NUMBER:
      return store_number (option, source, value, err);
    case OPTION_BOOL:
      return store_bool (option, source, value, err);
    case OPTION_ENUM:
      return store_enum (option, source, value, err);
    case OPTION_LIST:
    case OPTION_ADDRESS_LIST:
      return store_list (option, source, value, append, err);
    case OPTION_ADDRESS:
      if (!check_address (source, value, err))
        return false;
      break;
    case OPTION_STRING:
      break;
    }
  char **destination = option->destination;
  g_free (*destination);
  *destination = g_strdup (value);
  return true;
}

static bool
apply_defaults (const option_table_t *table, anv_error_t *err)
{
  for (const option_t *option = table->options; option->name != NULL; option++)
    {
      bool is_list = option->type == OPTION_LIST || option->type == OPTION_ADDRESS_LIST;
      if (is_list && !store_list (option, option->name, "", false, err))
        return false;
      if (option->default_value == NULL)
        continue;
      if (!store_value (option, option->name, option->default_value, false, err))
        return false;
    }
  return true;
}

const char *
option_get_settings_path (void)
{
  return g_getenv (SETTINGS_FILE_VARIABLE);
}

static const option_t *
find_by_variable (const option_table_t *table, const char *variable, size_t *index)
{
  for (size_t i = 0; table->options[i].name != NULL; i++)
    {
      g_autofree char *name = environment_name (table->options[i].name);
      if (strcmp (name, variable) == 0)
        {
          *index = i;
          return &table->options[i];
        }
    }
  return NULL;
}

static bool
set_file_error (const char *path, size_t line, const char *text, anv_error_t *err)
{
  anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_VALUE, "%s:%zu: %s", path, line, text);
  return false;
}

/* Splits LINE of a settings file in place at the first '='; VALUE is NULL without one. Returns
 * false for an empty line or a comment. */
static bool
split_line (char *line, char **variable, char **value)
{
  g_strstrip (line);
  *variable = line;
  *value = strchr (line, '=');
  if (*line == '\0' || *line == '#')
    return false;
  if (*value != NULL)
    *(*value)++ = '\0';
  return true;
}

static char *
read_settings_file (const char *path, anv_error_t *err)
{
  char *text = NULL;
  g_autoptr (GError) error = NULL;
  if (!g_file_get_contents (path, &text, NULL, &error))
    anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_VALUE, "%s: %s", SETTINGS_FILE_VARIABLE,
                   error->message);
  return text;
}

static bool
apply_file (const option_table_t *table, bool *set_by_variable, anv_error_t *err)
{
  const char *path = option_get_settings_path ();
  char *variable = NULL;
  char *value = NULL;
  if (path == NULL)
    return true;
  g_autofree char *text = read_settings_file (path, err);
  if (text == NULL)
    return false;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (size_t i = 0; lines[i] != NULL; i++)
    {
      size_t index = 0;
      if (!split_line (lines[i], &variable, &value))
        continue;
      const option_t *option = find_by_variable (table, variable, &index);
      if (value == NULL || option == NULL)
        return set_file_error (path, i + 1, "expected NAME=VALUE with the name of a setting", err);
      if (!store_value (option, variable, value, false, err))
        return false;
      set_by_variable[index] = true;
    }
  return true;
}

GPtrArray *
option_reload_addresses (const option_table_t *table, const char *name, anv_error_t *err)
{
  const char *path = option_get_settings_path ();
  g_autofree char *wanted_variable = environment_name (name);
  g_autofree char *text = path != NULL ? read_settings_file (path, err) : NULL;
  GPtrArray *list = NULL;
  option_t option = { .name = name, .type = OPTION_ADDRESS_LIST, .destination = &list };
  char *variable = NULL;
  char *value = NULL;
  if (text == NULL)
    return NULL;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (size_t i = 0; lines[i] != NULL; i++)
    {
      if (!split_line (lines[i], &variable, &value) || value == NULL
          || strcmp (variable, wanted_variable) != 0)
        continue;
      if (store_list (&option, variable, value, false, err))
        return list;
      g_clear_pointer (&list, g_ptr_array_unref);
      return NULL;
    }
  anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_MISSING, "%s: no %s", path, wanted_variable);
  return NULL;
}

static bool
apply_environment (const option_table_t *table, bool *set_by_variable, anv_error_t *err)
{
  for (size_t i = 0; table->options[i].name != NULL; i++)
    {
      g_autofree char *name = environment_name (table->options[i].name);
      const char *value = g_getenv (name);
      if (value == NULL)
        continue;
      if (!store_value (&table->options[i], name, value, false, err))
        return false;
      set_by_variable[i] = true;
    }
  return true;
}

static error_t
parse_flag (int key, char *value, struct argp_state *argp_state)
{
  parse_state_t *state = argp_state->input;

  if (key == CHECK_FLAG_KEY)
    {
      state->result->check_only = true;
      return 0;
    }
  if (key == ARGP_KEY_ARG)
    {
      if (state->table->positional == NULL)
        argp_error (argp_state, "unexpected argument '%s'", value);
      /* The program itself parses the arguments from the first positional one on. */
      state->result->first_argument = argp_state->next - 1;
      argp_state->next = argp_state->argc;
      return 0;
    }
  /* Keys outside the table are events of argp itself, such as ARGP_KEY_END. */
  if (key < FIRST_FLAG_KEY || (size_t)(key - FIRST_FLAG_KEY) >= count_options (state->table))
    return ARGP_ERR_UNKNOWN;

  size_t index = (size_t)(key - FIRST_FLAG_KEY);
  const option_t *option = &state->table->options[index];
  g_autofree char *source = g_strconcat ("--", option->name, NULL);
  const char *text = option->type == OPTION_BOOL ? "true" : value;
  if (!store_value (option, source, text, state->set_by_flag[index], state->err))
    {
      state->failed = true;
      return EINVAL;
    }
  state->set_by_flag[index] = true;
  return 0;
}

static struct argp_option *
build_argp_options (const option_table_t *table, GPtrArray *help_texts)
{
  size_t count = count_options (table);
  struct argp_option *argp_options = g_new0 (struct argp_option, count + 2);

  for (size_t i = 0; i < count; i++)
    {
      const option_t *option = &table->options[i];
      const char *default_text = option->default_value != NULL ? option->default_value : "none";
      g_autofree char *variable = environment_name (option->name);
      char *help = g_strdup_printf ("%s [%s; default: %s]", option->help, variable, default_text);
      g_ptr_array_add (help_texts, help);
      argp_options[i].name = option->name;
      argp_options[i].key = FIRST_FLAG_KEY + (int)i;
      argp_options[i].arg = option->type == OPTION_BOOL ? NULL : option->argument;
      argp_options[i].doc = help;
    }
  argp_options[count].name = "check";
  argp_options[count].key = CHECK_FLAG_KEY;
  argp_options[count].doc = "Check the settings, print nothing if they are valid, and exit";
  return argp_options;
}

static bool
check_required (const option_table_t *table, const bool *set_by_variable, const bool *set_by_flag,
                anv_error_t *err)
{
  for (size_t i = 0; table->options[i].name != NULL; i++)
    {
      const option_t *option = &table->options[i];
      if (!option->required || set_by_variable[i] || set_by_flag[i])
        continue;
      g_autofree char *variable = environment_name (option->name);
      anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_MISSING, "--%s (or %s) is required: %s",
                     option->name, variable, option->help);
      return false;
    }
  return true;
}

bool
option_parse (const option_table_t *table, int argc, char **argv, option_result_t *result,
              anv_error_t *err)
{
  size_t count = count_options (table);
  g_autofree bool *set_by_variable = g_new0 (bool, count + 1);
  g_autofree bool *set_by_flag = g_new0 (bool, count + 1);

  *result = (option_result_t){ .first_argument = argc };
  if (!apply_defaults (table, err) || !apply_file (table, set_by_variable, err)
      || !apply_environment (table, set_by_variable, err))
    return false;

  g_autoptr (GPtrArray) help_texts = g_ptr_array_new_with_free_func (g_free);
  g_autofree struct argp_option *argp_options = build_argp_options (table, help_texts);
  parse_state_t state
      = { .table = table, .result = result, .set_by_flag = set_by_flag, .err = err };
  struct argp argp = {
    .options = argp_options,
    .parser = parse_flag,
    .args_doc = table->positional,
    .doc = table->summary,
  };
  version_text = g_strconcat (table->program, " " ANVILLB_VERSION, NULL);
  argp_program_version = version_text;
  error_t status = argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, &state);
  argp_program_version = NULL;
  g_clear_pointer (&version_text, g_free);
  if (state.failed)
    return false;
  if (status != 0)
    {
      anv_error_set (err, ANV_ERROR_OPTION, OPTION_ERROR_UNKNOWN,
                     "cannot parse the command line: %s", g_strerror (status));
      return false;
    }
  return check_required (table, set_by_variable, set_by_flag, err);
}

void
option_free (const option_table_t *table)
{
  for (const option_t *option = table->options; option->name != NULL; option++)
    {
      switch (option->type)
        {
        case OPTION_STRING:
        case OPTION_ADDRESS:
          g_clear_pointer ((char **)option->destination, g_free);
          break;
        case OPTION_LIST:
        case OPTION_ADDRESS_LIST:
          g_clear_pointer ((GPtrArray **)option->destination, g_ptr_array_unref);
          break;
        case OPTION_INTEGER:
        case OPTION_NUMBER:
        case OPTION_BOOL:
        case OPTION_ENUM:
          break;
        }
    }
}
