#include "placement.h"

#include <string.h>

/* Most services whose results are cached. The names come from the configuration; the bound keeps
 * names of earlier configurations from accumulating. */
#define MAX_CACHED_SERVICES 8192

/* Most failure domains. Members of further ones are never eligible. */
#define MAX_DOMAINS 64

typedef struct
{
  char *name;
  uint64_t hash;
  GPtrArray *eligible; /* placement_member_t */
  uint64_t version;    /* number of changes of ELIGIBLE, from 1 */
} domain_t;

/* The eligible members of a failure domain with the highest hashes for a service. */
typedef struct
{
  uint64_t version; /* of the failure domain when it was computed; 0: never */
  unsigned count;
  const placement_member_t *members[PLACEMENT_MAX_PER_DOMAIN];
} choice_t;

typedef struct
{
  uint64_t hash;
  GArray *choices; /* choice_t, by index of the failure domain */
} service_t;

struct placement
{
  GHashTable *members;  /* id -> placement_member_t */
  GPtrArray *domains;   /* domain_t, sorted by name */
  GHashTable *services; /* name -> service_t */
  uint64_t version;
};

/* Finalizer of SplitMix64, which spreads each input bit over the whole result. */
static uint64_t
mix (uint64_t value)
{
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/* FNV-1a with a finalizer, because FNV alone gives similar names similar high bits. */
static uint64_t
hash_text (const char *text)
{
  uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char *p = text; *p != '\0'; p++)
    hash = (hash ^ (uint8_t)*p) * 0x100000001b3ULL;
  return mix (hash);
}

/* Returns the rendezvous hash of a pair. It is not symmetric, because a service and a member may
 * have the same name. */
static uint64_t
rendezvous_hash (uint64_t key, uint64_t member)
{
  return mix (key ^ (member * 0x9e3779b97f4a7c15ULL));
}

static bool
is_eligible (const placement_member_t *member)
{
  return member->configured && !member->leaving;
}

static void
member_free (void *data)
{
  placement_member_t *member = data;
  g_free (member->id);
  g_free (member->address);
  g_free (member->domain);
  g_free (member);
}

static void
domain_free (void *data)
{
  domain_t *domain = data;
  g_free (domain->name);
  g_ptr_array_unref (domain->eligible);
  g_free (domain);
}

static void
service_free (void *data)
{
  service_t *service = data;
  g_array_unref (service->choices);
  g_free (service);
}

placement_t *
placement_new (void)
{
  placement_t *placement = g_new0 (placement_t, 1);
  placement->members = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, member_free);
  placement->domains = g_ptr_array_new_with_free_func (domain_free);
  placement->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, service_free);
  return placement;
}

void
placement_free (placement_t *placement)
{
  g_hash_table_unref (placement->services);
  g_ptr_array_unref (placement->domains);
  g_hash_table_unref (placement->members);
  g_free (placement);
}

static domain_t *
find_domain (placement_t *placement, const char *name)
{
  for (guint i = 0; i < placement->domains->len; i++)
    {
      domain_t *domain = g_ptr_array_index (placement->domains, i);
      if (strcmp (domain->name, name) == 0)
        return domain;
    }
  return NULL;
}

static gint
compare_domains (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(const domain_t *const *)a)->name, (*(const domain_t *const *)b)->name);
}

/* Adds a failure domain, whose name comes from the settings of an instance. Drops all cached
 * results because the indexes of other domains change. Returns NULL if there are too many. */
static domain_t *
add_domain (placement_t *placement, const char *name)
{
  if (placement->domains->len >= MAX_DOMAINS)
    return NULL;
  domain_t *domain = g_new0 (domain_t, 1);
  domain->name = g_strdup (name);
  domain->hash = hash_text (name);
  domain->eligible = g_ptr_array_new ();
  domain->version = 1;
  g_ptr_array_add (placement->domains, domain);
  g_ptr_array_sort (placement->domains, compare_domains);
  g_hash_table_remove_all (placement->services);
  return domain;
}

static void
eligible_add (placement_t *placement, placement_member_t *member)
{
  domain_t *domain = find_domain (placement, member->domain);
  if (domain == NULL)
    domain = add_domain (placement, member->domain);
  if (domain == NULL)
    return;
  g_ptr_array_add (domain->eligible, member);
  domain->version++;
  placement->version++;
}

static void
eligible_remove (placement_t *placement, placement_member_t *member)
{
  domain_t *domain = find_domain (placement, member->domain);
  if (domain == NULL || !g_ptr_array_remove_fast (domain->eligible, member))
    return;
  domain->version++;
  placement->version++;
}

void
placement_set (placement_t *placement, const char *id, const char *address, const char *domain,
               bool configured, bool leaving)
{
  placement_member_t *member = g_hash_table_lookup (placement->members, id);
  if (member != NULL && member->configured == configured && member->leaving == leaving
      && strcmp (member->address, address) == 0 && strcmp (member->domain, domain) == 0)
    return;

  placement_remove (placement, id);
  member = g_new0 (placement_member_t, 1);
  member->id = g_strdup (id);
  member->address = g_strdup (address);
  member->domain = g_strdup (domain);
  member->hash = hash_text (id);
  member->configured = configured;
  member->leaving = leaving;
  g_hash_table_insert (placement->members, member->id, member);
  if (is_eligible (member))
    eligible_add (placement, member);
}

void
placement_remove (placement_t *placement, const char *id)
{
  placement_member_t *member = g_hash_table_lookup (placement->members, id);
  if (member == NULL)
    return;
  eligible_remove (placement, member);
  g_hash_table_remove (placement->members, id);
}

uint64_t
placement_version (const placement_t *placement)
{
  return placement->version;
}

static service_t *
find_or_add_service (placement_t *placement, const char *name)
{
  service_t *service = g_hash_table_lookup (placement->services, name);
  if (service != NULL)
    return service;
  if (g_hash_table_size (placement->services) >= MAX_CACHED_SERVICES)
    g_hash_table_remove_all (placement->services);
  service = g_new0 (service_t, 1);
  service->hash = hash_text (name);
  service->choices = g_array_new (false, true, sizeof (choice_t));
  g_array_set_size (service->choices, placement->domains->len);
  g_hash_table_insert (placement->services, g_strdup (name), service);
  return service;
}

/* Returns whether A has a higher hash with KEY than B. Equal hashes are ordered by id, so that the
 * result does not depend on the order of arrival. */
static bool
ranks_before (uint64_t key, const placement_member_t *a, const placement_member_t *b)
{
  uint64_t hash_a = rendezvous_hash (key, a->hash);
  uint64_t hash_b = rendezvous_hash (key, b->hash);
  return hash_a != hash_b ? hash_a > hash_b : strcmp (a->id, b->id) < 0;
}

/* Stores the eligible members of DOMAIN with the highest hashes. */
static void
update_choice (choice_t *choice, uint64_t service_hash, const domain_t *domain)
{
  choice->count = 0;
  choice->version = domain->version;
  for (guint i = 0; i < domain->eligible->len; i++)
    {
      const placement_member_t *member = g_ptr_array_index (domain->eligible, i);
      unsigned position = choice->count;
      while (position > 0 && ranks_before (service_hash, member, choice->members[position - 1]))
        position--;
      if (position >= PLACEMENT_MAX_PER_DOMAIN)
        continue;
      unsigned last = MIN (choice->count, PLACEMENT_MAX_PER_DOMAIN - 1);
      memmove (&choice->members[position + 1], &choice->members[position],
               (last - position) * sizeof (choice->members[0]));
      choice->members[position] = member;
      choice->count = last + 1;
    }
}

/* Returns the choice of SERVICE in the failure domain INDEX. Updates it first if outdated. */
static const choice_t *
get_choice (placement_t *placement, service_t *service, guint index)
{
  const domain_t *domain = g_ptr_array_index (placement->domains, index);
  choice_t *choice = &g_array_index (service->choices, choice_t, index);
  if (choice->version != domain->version)
    update_choice (choice, service->hash, domain);
  return choice;
}

static size_t
append_choice (const choice_t *choice, unsigned per_domain, const placement_member_t **out,
               size_t count, size_t max)
{
  unsigned max_count = MIN (per_domain, choice->count);
  for (unsigned i = 0; i < max_count && count < max; i++)
    out[count++] = choice->members[i];
  return count;
}

size_t
placement_assigned (placement_t *placement, const char *service, unsigned per_domain,
                    const placement_member_t **out, size_t max)
{
  service_t *cached = find_or_add_service (placement, service);
  size_t count = 0;
  for (guint i = 0; i < placement->domains->len; i++)
    count = append_choice (get_choice (placement, cached, i), per_domain, out, count, max);
  return count;
}

bool
placement_is_assigned (placement_t *placement, const char *service, unsigned per_domain,
                       const char *id)
{
  const placement_member_t *assigned[MAX_DOMAINS * PLACEMENT_MAX_PER_DOMAIN];
  size_t count
      = placement_assigned (placement, service, per_domain, assigned, G_N_ELEMENTS (assigned));
  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (assigned[i]->id, id) == 0)
        return true;
    }
  return false;
}

const placement_member_t *
placement_owner (placement_t *placement, const char *service, unsigned per_domain,
                 const char *address, const char *target_domain)
{
  const placement_member_t *assigned[MAX_DOMAINS * PLACEMENT_MAX_PER_DOMAIN];
  size_t count
      = placement_assigned (placement, service, per_domain, assigned, G_N_ELEMENTS (assigned));
  uint64_t key = hash_text (address);
  const placement_member_t *best = NULL;
  bool best_is_local = false;
  for (size_t i = 0; i < count; i++)
    {
      bool is_local = strcmp (assigned[i]->domain, target_domain) == 0;
      if (best_is_local && !is_local)
        continue;
      if (best == NULL || (is_local && !best_is_local) || ranks_before (key, assigned[i], best))
        best = assigned[i];
      best_is_local = best_is_local || is_local;
    }
  return best;
}

size_t
placement_resolve (placement_t *placement, const char *service, unsigned per_domain,
                   const char *caller_domain, const placement_member_t **out, size_t max)
{
  service_t *cached = find_or_add_service (placement, service);
  size_t count = 0;
  size_t max_count = MIN (max, PLACEMENT_MAX_RESOLVED);
  guint domains = placement->domains->len;
  if (domains == 0)
    return 0;

  for (guint i = 0; i < domains; i++)
    {
      const domain_t *domain = g_ptr_array_index (placement->domains, i);
      if (strcmp (domain->name, caller_domain) == 0)
        count
            = append_choice (get_choice (placement, cached, i), per_domain, out, count, max_count);
    }
  guint first_index = (guint)(rendezvous_hash (cached->hash, hash_text (caller_domain)) % domains);
  for (guint i = 0; i < domains; i++)
    {
      guint index = (first_index + i) % domains;
      const domain_t *domain = g_ptr_array_index (placement->domains, index);
      if (strcmp (domain->name, caller_domain) == 0)
        continue;
      const choice_t *choice = get_choice (placement, cached, index);
      count = append_choice (choice, per_domain, out, count, max_count);
    }
  return count;
}
