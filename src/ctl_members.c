#include "ctl_members.h"

#include <string.h>

#define GROUPS_PATH "/v1/groups"

/* An instance that takes part in "found". */
typedef struct
{
  const char *url;
  char *id;
  char *name;
  bool bootstrapped; /* has exactly the members of the list already */
} instance_t;

static bool
is_true (const cJSON *object, const char *key)
{
  return cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (object, key));
}

static const cJSON *
get_members (const cJSON *group)
{
  return cJSON_GetObjectItemCaseSensitive (group, "members");
}

static bool
set_refused_error (anv_error_t *err, const char *server, const char *text)
{
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_REFUSED, "%s: %s", server, text);
  return false;
}

/* Returns whether the response to a change has status 200; otherwise sets ERR. */
static bool
check_response (const cJSON *response, unsigned status, const char *server, anv_error_t *err)
{
  if (response == NULL)
    return false;
  if (status == SOUP_STATUS_OK)
    return true;
  g_autofree char *text
      = g_strdup_printf ("status %u: %s", status, json_get_string (response, "error", "no reason"));
  return set_refused_error (err, server, text);
}

/* Returns the status of all groups at SERVER. */
static cJSON *
get_groups (ctl_client_t *client, const char *server, anv_error_t *err)
{
  unsigned status = 0;
  cJSON *response = ctl_client_call_server (client, server, "GET", GROUPS_PATH, NULL, &status, err);
  if (response == NULL)
    return NULL;
  if (status == SOUP_STATUS_OK)
    return response;
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_RESPONSE, "%s: status %u: %s", server, status,
                 json_get_string (response, "error", ""));
  cJSON_Delete (response);
  return NULL;
}

/* Returns the status of group NAME at SERVER; fails unless SERVER runs it. */
static cJSON *
get_group (ctl_client_t *client, const char *server, const char *name, anv_error_t *err)
{
  cJSON *response = get_groups (client, server, err);
  cJSON *found = NULL;
  cJSON *group = NULL;
  if (response == NULL)
    return NULL;
  cJSON_ArrayForEach (group, cJSON_GetObjectItemCaseSensitive (response, "groups"))
  {
    if (strcmp (json_get_string (group, "group", ""), name) == 0 && is_true (group, "running")
        && json_get_string (group, "id", NULL) != NULL
        && json_get_string (group, "name", NULL) != NULL)
      found = group;
  }
  if (found != NULL)
    cJSON_DetachItemViaPointer (cJSON_GetObjectItemCaseSensitive (response, "groups"), found);
  else
    anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_REFUSED, "%s: the group \"%s\" does not run here",
                   server, name);
  cJSON_Delete (response);
  return found;
}

/* Prints the match index at the leader only: a follower does not know it. */
static void
print_member (const cJSON *member, bool is_from_leader, FILE *out)
{
  fprintf (out, "    id %s, name %s, %s", json_get_string (member, "id", ""),
           json_get_string (member, "name", ""), is_true (member, "voter") ? "voter" : "learner");
  if (is_from_leader)
    fprintf (out, ", match %.0f", json_get_number (member, "match", 0));
  fputc ('\n', out);
}

static void
print_group (const cJSON *group, FILE *out)
{
  const char *role = json_get_string (group, "role", "");
  const cJSON *member = NULL;
  fprintf (out, "  group %s: ", json_get_string (group, "group", ""));
  if (!is_true (group, "running"))
    {
      fputs ("not running\n", out);
      return;
    }
  fprintf (out, "%s, id %s, name %s, term %.0f, commit %.0f, disk %s%s\n", role,
           json_get_string (group, "id", ""), json_get_string (group, "name", ""),
           json_get_number (group, "term", 0), json_get_number (group, "commit", 0),
           is_true (group, "disk_full") ? "full" : "ok",
           is_true (group, "change_pending") ? ", change pending" : "");
  if (cJSON_GetArraySize (get_members (group)) == 0)
    fputs ("    no members\n", out);
  cJSON_ArrayForEach (member, get_members (group))
      print_member (member, strcmp (role, "leader") == 0, out);
}

/* Prints the status of all servers, also if some of them do not respond. */
static bool
run_status (ctl_client_t *client, FILE *out, anv_error_t *err)
{
  const GPtrArray *servers = client->options.servers;
  guint unanswered_count = 0;
  for (guint i = 0; i < servers->len; i++)
    {
      anv_error_t local = { .domain = ANV_ERROR_NONE };
      const char *server = g_ptr_array_index (servers, i);
      const cJSON *group = NULL;
      cJSON *response = get_groups (client, server, &local);
      fprintf (out, "%s\n", server);
      if (response == NULL)
        {
          fprintf (out, "  no status: %s\n", local.text);
          unanswered_count++;
          continue;
        }
      cJSON_ArrayForEach (group, cJSON_GetObjectItemCaseSensitive (response, "groups"))
          print_group (group, out);
      cJSON_Delete (response);
    }
  if (unanswered_count == 0)
    return true;
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_CALL, "%u of %u instances gave no status",
                 unanswered_count, servers->len);
  return false;
}

static void
clear_instance (void *data)
{
  instance_t *instance = data;
  g_free (instance->id);
  g_free (instance->name);
}

static bool
read_identity (ctl_client_t *client, const char *group_name, const char *url, GArray *instances,
               anv_error_t *err)
{
  cJSON *group = get_group (client, url, group_name, err);
  if (group == NULL)
    return false;
  instance_t instance = {
    .url = url,
    .id = g_strdup (json_get_string (group, "id", "")),
    .name = g_strdup (json_get_string (group, "name", "")),
  };
  cJSON_Delete (group);
  for (guint i = 0; i < instances->len; i++)
    {
      const instance_t *other = &g_array_index (instances, instance_t, i);
      if (strcmp (other->id, instance.id) != 0)
        continue;
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE, "%s and %s are the same instance",
                     other->url, url);
      clear_instance (&instance);
      return false;
    }
  g_array_append_val (instances, instance);
  return true;
}

static int
compare_ids (const void *a, const void *b)
{
  const instance_t *left = *(const instance_t *const *)a;
  const instance_t *right = *(const instance_t *const *)b;
  return strcmp (left->id, right->id);
}

/* Returns whether GROUP has exactly the members INSTANCES, all of them voters. */
static bool
has_members (const cJSON *group, const GArray *instances)
{
  const cJSON *member = NULL;
  guint match_count = 0;
  cJSON_ArrayForEach (member, get_members (group))
  {
    for (guint i = 0; i < instances->len; i++)
      {
        const instance_t *instance = &g_array_index (instances, instance_t, i);
        match_count += is_true (member, "voter")
                       && strcmp (json_get_string (member, "id", ""), instance->id) == 0
                       && strcmp (json_get_string (member, "name", ""), instance->name) == 0;
      }
  }
  return match_count == instances->len
         && cJSON_GetArraySize (get_members (group)) == (int)match_count;
}

/* Sets instance->bootstrapped if the group at INSTANCE has exactly the members INSTANCES. Returns
 * false if it has others or its status cannot be read. */
static bool
check_members (ctl_client_t *client, const char *group_name, const GArray *instances,
               instance_t *instance, anv_error_t *err)
{
  cJSON *group = get_group (client, instance->url, group_name, err);
  if (group == NULL)
    return false;
  bool has_no_members = cJSON_GetArraySize (get_members (group)) == 0;
  instance->bootstrapped = has_members (group, instances);
  cJSON_Delete (group);
  return has_no_members || instance->bootstrapped
         || set_refused_error (err, instance->url, "the group has other members");
}

/* Every instance must write the same first log entry, so the members are sorted by id, whatever the
 * order of the arguments. */
static char *
make_bootstrap_body (const GArray *instances)
{
  g_autoptr (GPtrArray) sorted = g_ptr_array_new ();
  cJSON *body = cJSON_CreateObject ();
  cJSON *list = cJSON_AddArrayToObject (body, "members");
  for (guint i = 0; i < instances->len; i++)
    g_ptr_array_add (sorted, &g_array_index (instances, instance_t, i));
  g_ptr_array_sort (sorted, compare_ids);
  for (guint i = 0; i < sorted->len; i++)
    {
      const instance_t *instance = g_ptr_array_index (sorted, i);
      cJSON *member = cJSON_CreateObject ();
      cJSON_AddStringToObject (member, "id", instance->id);
      cJSON_AddStringToObject (member, "name", instance->name);
      cJSON_AddItemToArray (list, member);
    }
  char *text = json_print_canonical (body);
  cJSON_Delete (body);
  return text;
}

static bool
bootstrap_instance (ctl_client_t *client, const char *group_name, const GArray *instances,
                    instance_t *instance, const char *body, anv_error_t *err)
{
  g_autofree char *path = g_strdup_printf (GROUPS_PATH "/%s/found", group_name);
  unsigned status = 0;
  cJSON *response
      = ctl_client_call_server (client, instance->url, "POST", path, body, &status, err);
  bool ok = check_response (response, status, instance->url, err);
  bool refused = response != NULL && !ok;
  cJSON_Delete (response);
  if (!refused)
    return ok;
  /* The other instances may have elected a leader by now that replicated the same list here. */
  anv_error_t local = { .domain = ANV_ERROR_NONE };
  return check_members (client, group_name, instances, instance, &local) && instance->bootstrapped;
}

static bool
bootstrap_group (ctl_client_t *client, const char *group_name, GArray *instances, FILE *out,
                 anv_error_t *err)
{
  g_autofree char *body = make_bootstrap_body (instances);
  for (guint i = 0; i < instances->len; i++)
    {
      if (!check_members (client, group_name, instances, &g_array_index (instances, instance_t, i),
                          err))
        return false;
    }
  for (guint i = 0; i < instances->len; i++)
    {
      instance_t *instance = &g_array_index (instances, instance_t, i);
      if (!instance->bootstrapped
          && !bootstrap_instance (client, group_name, instances, instance, body, err))
        return false;
      fprintf (out, "%s: member id %s\n", instance->url, instance->id);
    }
  return true;
}

static bool
run_found (ctl_client_t *client, int count, char **arguments, FILE *out, anv_error_t *err)
{
  GArray *instances = g_array_new (FALSE, FALSE, sizeof (instance_t));
  bool ok = true;
  g_array_set_clear_func (instances, clear_instance);
  for (int i = 1; ok && i < count; i++)
    ok = read_identity (client, arguments[0], arguments[i], instances, err);
  ok = ok && bootstrap_group (client, arguments[0], instances, out, err);
  g_array_free (instances, TRUE);
  return ok;
}

static bool
request_change (ctl_client_t *client, const char *group_name, const char *action, cJSON *body,
                anv_error_t *err)
{
  g_autofree char *path = g_strdup_printf (GROUPS_PATH "/%s/%s", group_name, action);
  g_autofree char *text = json_print_canonical (body);
  unsigned status = 0;
  cJSON_Delete (body);
  cJSON *response = ctl_client_call (client, "POST", path, text, &status, err);
  bool ok = check_response (response, status, action, err);
  cJSON_Delete (response);
  return ok;
}

static bool
run_add (ctl_client_t *client, int count, char **arguments, FILE *out, anv_error_t *err)
{
  const char *url = arguments[1];
  cJSON *group = get_group (client, url, arguments[0], err);
  if (group == NULL)
    return false;
  g_autofree char *id = g_strdup (json_get_string (group, "id", ""));
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddStringToObject (body, "id", id);
  cJSON_AddStringToObject (body, "name", json_get_string (group, "name", ""));
  bool has_no_members = cJSON_GetArraySize (get_members (group)) == 0;
  cJSON_Delete (group);
  if (!has_no_members)
    {
      cJSON_Delete (body);
      return set_refused_error (err, url, "the instance belongs to a group already");
    }
  if (!request_change (client, arguments[0], "add", body, err))
    return false;
  fprintf (out, "%s: learner id %s\n", url, id);
  return true;
}

static bool
run_remove (ctl_client_t *client, int count, char **arguments, FILE *out, anv_error_t *err)
{
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddStringToObject (body, "id", arguments[1]);
  if (!request_change (client, arguments[0], "remove", body, err))
    return false;
  fprintf (out, "removed id %s\n", arguments[1]);
  return true;
}

static const struct
{
  const char *name;
  int min_argument_count;
  int max_argument_count;
  const char *usage;
  bool (*run) (ctl_client_t *client, int count, char **arguments, FILE *out, anv_error_t *err);
} actions[] = {
  { "found", 2, G_MAXINT, "GROUP URL...", run_found },
  { "add", 2, 2, "GROUP URL", run_add },
  { "remove", 2, 2, "GROUP ID", run_remove },
};

bool
ctl_members_run (ctl_client_t *client, int count, char **arguments, FILE *out, anv_error_t *err)
{
  if (count == 0)
    return run_status (client, out, err);
  for (size_t i = 0; i < G_N_ELEMENTS (actions); i++)
    {
      if (strcmp (actions[i].name, arguments[0]) != 0)
        continue;
      if (count - 1 >= actions[i].min_argument_count && count - 1 <= actions[i].max_argument_count)
        return actions[i].run (client, count - 1, arguments + 1, out, err);
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE, "usage: members %s %s", actions[i].name,
                     actions[i].usage);
      return false;
    }
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE, "unknown action \"%s\"; see --help",
                 arguments[0]);
  return false;
}
