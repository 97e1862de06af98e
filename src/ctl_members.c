#include "ctl_members.h"

#include <string.h>

#define GROUPS_PATH "/v1/groups"

/* An instance that takes part in "found". */
typedef struct
{
  const char *url;
  char *id;
  char *name;
  bool founded; /* has exactly the members to found */
} instance_t;

static bool
is_true (const cJSON *object, const char *key)
{
  return cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (object, key));
}

static const cJSON *
members_of (const cJSON *group)
{
  return cJSON_GetObjectItemCaseSensitive (group, "members");
}

static bool
refuse (anv_error_t *err, const char *server, const char *text)
{
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_REFUSED, "%s: %s", server, text);
  return false;
}

/* Returns whether ANSWER to a change has status 200; otherwise the refusal is in ERR. */
static bool
check_answer (const cJSON *answer, unsigned status, const char *server, anv_error_t *err)
{
  if (answer == NULL)
    return false;
  if (status == SOUP_STATUS_OK)
    return true;
  g_autofree char *text
      = g_strdup_printf ("status %u: %s", status, json_string (answer, "error", "no reason"));
  return refuse (err, server, text);
}

/* Returns the answer with the status of all groups at SERVER. */
static cJSON *
get_groups (ctl_client_t *client, const char *server, anv_error_t *err)
{
  unsigned status = 0;
  cJSON *answer = ctl_client_call_at (client, server, "GET", GROUPS_PATH, NULL, &status, err);
  if (answer == NULL)
    return NULL;
  if (status == SOUP_STATUS_OK)
    return answer;
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_ANSWER, "%s: status %u: %s", server, status,
                 json_string (answer, "error", ""));
  cJSON_Delete (answer);
  return NULL;
}

/* Returns the status of group NAME at SERVER, which must run it. */
static cJSON *
get_group (ctl_client_t *client, const char *server, const char *name, anv_error_t *err)
{
  cJSON *answer = get_groups (client, server, err);
  cJSON *found = NULL;
  cJSON *group = NULL;
  if (answer == NULL)
    return NULL;
  cJSON_ArrayForEach (group, cJSON_GetObjectItemCaseSensitive (answer, "groups"))
  {
    if (strcmp (json_string (group, "group", ""), name) == 0 && is_true (group, "running")
        && json_string (group, "id", NULL) != NULL && json_string (group, "name", NULL) != NULL)
      found = group;
  }
  if (found != NULL)
    cJSON_DetachItemViaPointer (cJSON_GetObjectItemCaseSensitive (answer, "groups"), found);
  else
    anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_REFUSED, "%s: the group \"%s\" does not run here",
                   server, name);
  cJSON_Delete (answer);
  return found;
}

/* A follower does not know how far the log of the others matches. */
static void
print_member (const cJSON *member, bool at_leader, FILE *out)
{
  fprintf (out, "    id %s, name %s, %s", json_string (member, "id", ""),
           json_string (member, "name", ""), is_true (member, "voter") ? "voter" : "learner");
  if (at_leader)
    fprintf (out, ", match %.0f", json_number (member, "match", 0));
  fputc ('\n', out);
}

static void
print_group (const cJSON *group, FILE *out)
{
  const char *role = json_string (group, "role", "");
  const cJSON *member = NULL;
  fprintf (out, "  group %s: ", json_string (group, "group", ""));
  if (!is_true (group, "running"))
    {
      fputs ("not running\n", out);
      return;
    }
  fprintf (out, "%s, id %s, name %s, term %.0f, commit %.0f, disk %s%s\n", role,
           json_string (group, "id", ""), json_string (group, "name", ""),
           json_number (group, "term", 0), json_number (group, "commit", 0),
           is_true (group, "disk_full") ? "full" : "ok",
           is_true (group, "change_pending") ? ", change pending" : "");
  if (cJSON_GetArraySize (members_of (group)) == 0)
    fputs ("    no members\n", out);
  cJSON_ArrayForEach (member, members_of (group))
      print_member (member, strcmp (role, "leader") == 0, out);
}

/* An instance that does not answer does not hide the others. */
static bool
run_status (ctl_client_t *client, FILE *out, anv_error_t *err)
{
  const GPtrArray *servers = client->options.servers;
  guint silent = 0;
  for (guint i = 0; i < servers->len; i++)
    {
      anv_error_t local = { .domain = ANV_ERROR_NONE };
      const char *server = g_ptr_array_index (servers, i);
      const cJSON *group = NULL;
      cJSON *answer = get_groups (client, server, &local);
      fprintf (out, "%s\n", server);
      if (answer == NULL)
        {
          fprintf (out, "  no status: %s\n", local.text);
          silent++;
          continue;
        }
      cJSON_ArrayForEach (group, cJSON_GetObjectItemCaseSensitive (answer, "groups"))
          print_group (group, out);
      cJSON_Delete (answer);
    }
  if (silent == 0)
    return true;
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_CALL, "%u of %u instances gave no status", silent,
                 servers->len);
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
    .id = g_strdup (json_string (group, "id", "")),
    .name = g_strdup (json_string (group, "name", "")),
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
  guint same = 0;
  cJSON_ArrayForEach (member, members_of (group))
  {
    for (guint i = 0; i < instances->len; i++)
      {
        const instance_t *instance = &g_array_index (instances, instance_t, i);
        same += is_true (member, "voter")
                && strcmp (json_string (member, "id", ""), instance->id) == 0
                && strcmp (json_string (member, "name", ""), instance->name) == 0;
      }
  }
  return same == instances->len && cJSON_GetArraySize (members_of (group)) == (int)same;
}

/* Notes whether the group at INSTANCE has the members INSTANCES already. Returns false if it has
 * others. */
static bool
check_members (ctl_client_t *client, const char *group_name, const GArray *instances,
               instance_t *instance, anv_error_t *err)
{
  cJSON *group = get_group (client, instance->url, group_name, err);
  if (group == NULL)
    return false;
  bool empty = cJSON_GetArraySize (members_of (group)) == 0;
  instance->founded = has_members (group, instances);
  cJSON_Delete (group);
  return empty || instance->founded || refuse (err, instance->url, "the group has other members");
}

/* Every instance must write the same first entry, so the list is in the order of the identities
 * and not of the arguments. */
static char *
found_body (const GArray *instances)
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
  char *text = json_canonical (body);
  cJSON_Delete (body);
  return text;
}

static bool
found_at (ctl_client_t *client, const char *group_name, const GArray *instances,
          instance_t *instance, const char *body, anv_error_t *err)
{
  g_autofree char *path = g_strdup_printf (GROUPS_PATH "/%s/found", group_name);
  unsigned status = 0;
  cJSON *answer = ctl_client_call_at (client, instance->url, "POST", path, body, &status, err);
  bool ok = check_answer (answer, status, instance->url, err);
  bool refused = answer != NULL && !ok;
  cJSON_Delete (answer);
  if (!refused)
    return ok;
  /* The others may have a leader by now that has sent the same list to this instance. */
  anv_error_t local = { .domain = ANV_ERROR_NONE };
  return check_members (client, group_name, instances, instance, &local) && instance->founded;
}

static bool
found_all (ctl_client_t *client, const char *group_name, GArray *instances, FILE *out,
           anv_error_t *err)
{
  g_autofree char *body = found_body (instances);
  for (guint i = 0; i < instances->len; i++)
    {
      if (!check_members (client, group_name, instances, &g_array_index (instances, instance_t, i),
                          err))
        return false;
    }
  for (guint i = 0; i < instances->len; i++)
    {
      instance_t *instance = &g_array_index (instances, instance_t, i);
      if (!instance->founded && !found_at (client, group_name, instances, instance, body, err))
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
  ok = ok && found_all (client, arguments[0], instances, out, err);
  g_array_free (instances, TRUE);
  return ok;
}

static bool
change (ctl_client_t *client, const char *group_name, const char *action, cJSON *body,
        anv_error_t *err)
{
  g_autofree char *path = g_strdup_printf (GROUPS_PATH "/%s/%s", group_name, action);
  g_autofree char *text = json_canonical (body);
  unsigned status = 0;
  cJSON_Delete (body);
  cJSON *answer = ctl_client_call (client, "POST", path, text, &status, err);
  bool ok = check_answer (answer, status, action, err);
  cJSON_Delete (answer);
  return ok;
}

static bool
run_add (ctl_client_t *client, int count, char **arguments, FILE *out, anv_error_t *err)
{
  const char *url = arguments[1];
  cJSON *group = get_group (client, url, arguments[0], err);
  if (group == NULL)
    return false;
  g_autofree char *id = g_strdup (json_string (group, "id", ""));
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddStringToObject (body, "id", id);
  cJSON_AddStringToObject (body, "name", json_string (group, "name", ""));
  bool empty = cJSON_GetArraySize (members_of (group)) == 0;
  cJSON_Delete (group);
  if (!empty)
    {
      cJSON_Delete (body);
      return refuse (err, url, "the instance belongs to a group already");
    }
  if (!change (client, arguments[0], "add", body, err))
    return false;
  fprintf (out, "%s: learner id %s\n", url, id);
  return true;
}

static bool
run_remove (ctl_client_t *client, int count, char **arguments, FILE *out, anv_error_t *err)
{
  cJSON *body = cJSON_CreateObject ();
  cJSON_AddStringToObject (body, "id", arguments[1]);
  if (!change (client, arguments[0], "remove", body, err))
    return false;
  fprintf (out, "removed id %s\n", arguments[1]);
  return true;
}

static const struct
{
  const char *name;
  int least; /* arguments */
  int most;
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
      if (count - 1 >= actions[i].least && count - 1 <= actions[i].most)
        return actions[i].run (client, count - 1, arguments + 1, out, err);
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE, "usage: members %s %s", actions[i].name,
                     actions[i].usage);
      return false;
    }
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_USAGE, "unknown action \"%s\"; see --help",
                 arguments[0]);
  return false;
}
