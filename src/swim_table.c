#include "swim_table.h"

#include <math.h>
#include <string.h>

/* Bounds the list walk of swim_table_pick_random_dead(). */
#define MAX_DEAD_STEPS 8192

/* FNV-1a. */
static uint32_t
hash_text (const char *text)
{
  uint32_t hash = 0x811c9dc5;
  for (const char *p = text; *p != '\0'; p++)
    hash = (hash ^ (uint8_t)*p) * 0x01000193;
  return hash;
}

/* Returns the contribution of a member to the hash of its bucket. Suspicion does not change it,
 * because it is temporary. Dead members contribute nothing, because instances remove them at
 * different times. The constants are those of SplitMix64. */
static uint32_t
record_hash (const swim_member_t *member)
{
  if (member->status == SWIM_DEAD)
    return 0;
  uint64_t value = member->id_hash;
  value = (value << 32 | member->flags) ^ (member->incarnation * 0x9e3779b97f4a7c15ULL);
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return (uint32_t)(value >> 32);
}

static unsigned
bucket_of (const swim_member_t *member)
{
  return member->id_hash % SWIM_BUCKET_COUNT;
}

static void
set_text (char **text, const char *value)
{
  if (*text != NULL && strcmp (*text, value) == 0)
    return;
  g_clear_pointer (text, g_ref_string_release);
  *text = g_ref_string_new_intern (value);
}

static void
member_free (void *data)
{
  swim_member_t *member = data;
  g_clear_pointer (&member->id, g_ref_string_release);
  g_clear_pointer (&member->peer_address, g_ref_string_release);
  g_clear_pointer (&member->caller_address, g_ref_string_release);
  g_clear_pointer (&member->domain, g_ref_string_release);
  g_free (member);
}

/* Inserts MEMBER at a random position. If the position was already passed in this round, MEMBER is
 * probed in the next round. */
static void
probe_list_insert (swim_table_t *table, swim_probe_list_t *probes, swim_member_t *member)
{
  guint index = (guint)rng_uniform_int (table->rng, probes->members->len + 1);
  g_ptr_array_add (probes->members, member);
  swim_member_t *other = g_ptr_array_index (probes->members, index);
  probes->members->pdata[probes->members->len - 1] = other;
  probes->members->pdata[index] = member;
  other->probe_index = probes->members->len - 1;
  member->probe_index = index;
  member->in_own_domain_probes = probes == &table->own_domain_probes;
}

static void
probe_list_remove (swim_table_t *table, swim_member_t *member)
{
  swim_probe_list_t *probes
      = member->in_own_domain_probes ? &table->own_domain_probes : &table->other_domain_probes;
  guint index = member->probe_index;
  swim_member_t *last = g_ptr_array_index (probes->members, probes->members->len - 1);
  probes->members->pdata[index] = last;
  last->probe_index = index;
  g_ptr_array_set_size (probes->members, (gint)probes->members->len - 1);
}

static bool
is_own_domain (const swim_table_t *table, const swim_member_t *member)
{
  /* Interned strings are equal if their pointers are equal. */
  return member->domain == table->self->domain;
}

static void
add_to_probe_list (swim_table_t *table, swim_member_t *member)
{
  if (member == table->self || member->status == SWIM_DEAD)
    return;
  probe_list_insert (table,
                     is_own_domain (table, member) ? &table->own_domain_probes
                                                   : &table->other_domain_probes,
                     member);
}

static void
remove_from_probe_list (swim_table_t *table, swim_member_t *member)
{
  if (member != table->self && member->status != SWIM_DEAD)
    probe_list_remove (table, member);
}

static void
insert_by_timer (list_t *list, swim_member_t *member)
{
  list_node_t *position = list->head.prev;
  while (position != &list->head
         && CONTAINER_OF (position, swim_member_t, timer_node)->timer_expiry_us
                > member->timer_expiry_us)
    position = position->prev;
  list_insert_before (position->next, &member->timer_node);
}

static void
add_to_timer_list (swim_table_t *table, swim_member_t *member)
{
  if (member->status == SWIM_SUSPECT)
    {
      insert_by_timer (&table->suspects, member);
      table->suspect_count++;
    }
  if (member->status == SWIM_DEAD)
    {
      insert_by_timer (&table->dead, member);
      table->dead_count++;
    }
}

static void
remove_from_timer_list (swim_table_t *table, swim_member_t *member)
{
  list_remove (&member->timer_node);
  if (member->status == SWIM_SUSPECT)
    table->suspect_count--;
  if (member->status == SWIM_DEAD)
    table->dead_count--;
}

static swim_member_t *
member_new (const swim_update_t *update)
{
  swim_member_t *member = g_new0 (swim_member_t, 1);
  set_text (&member->id, update->id);
  set_text (&member->peer_address, update->peer_address);
  set_text (&member->caller_address, update->caller_address);
  set_text (&member->domain, update->domain);
  member->id_hash = hash_text (update->id);
  member->incarnation = update->incarnation;
  member->status = (uint8_t)update->status;
  member->flags = update->flags;
  list_node_init (&member->bucket_node);
  list_node_init (&member->queue_node);
  list_node_init (&member->timer_node);
  return member;
}

swim_member_t *
swim_table_add (swim_table_t *table, const swim_update_t *update)
{
  swim_member_t *member = member_new (update);
  if (table->self == NULL)
    table->self = member;
  g_hash_table_insert (table->members, member->id, member);
  list_push_back (&table->buckets[bucket_of (member)], &member->bucket_node);
  table->hashes[bucket_of (member)] ^= record_hash (member);
  add_to_probe_list (table, member);
  add_to_timer_list (table, member);
  return member;
}

void
swim_table_init (swim_table_t *table, const swim_update_t *self, rng_t *rng)
{
  memset (table, 0, sizeof (*table));
  table->rng = rng;
  table->members = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, member_free);
  table->own_domain_probes.members = g_ptr_array_new ();
  table->other_domain_probes.members = g_ptr_array_new ();
  list_init (&table->suspects);
  list_init (&table->dead);
  for (int i = 0; i < SWIM_BUCKET_COUNT; i++)
    list_init (&table->buckets[i]);
  for (int i = 0; i <= SWIM_MAX_TRANSMITS; i++)
    list_init (&table->update_queues[i]);
  swim_table_add (table, self);
}

void
swim_table_destroy (swim_table_t *table)
{
  g_ptr_array_unref (table->own_domain_probes.members);
  g_ptr_array_unref (table->other_domain_probes.members);
  g_hash_table_unref (table->members);
}

swim_member_t *
swim_table_find (const swim_table_t *table, const char *id)
{
  return g_hash_table_lookup (table->members, id);
}

size_t
swim_table_live_count (const swim_table_t *table)
{
  return g_hash_table_size (table->members) - table->dead_count;
}

void
swim_table_remove (swim_table_t *table, swim_member_t *member)
{
  g_assert (member != table->self);
  remove_from_probe_list (table, member);
  remove_from_timer_list (table, member);
  table->hashes[bucket_of (member)] ^= record_hash (member);
  list_remove (&member->bucket_node);
  list_remove (&member->queue_node);
  g_hash_table_remove (table->members, member->id);
}

void
swim_table_update_member (swim_table_t *table, swim_member_t *member, const swim_update_t *update,
                          int64_t timer_expiry_us)
{
  remove_from_probe_list (table, member);
  remove_from_timer_list (table, member);
  table->hashes[bucket_of (member)] ^= record_hash (member);
  member->status = (uint8_t)update->status;
  member->flags = update->flags;
  member->incarnation = update->incarnation;
  member->timer_expiry_us = timer_expiry_us;
  if (update->status == SWIM_ALIVE)
    {
      set_text (&member->peer_address, update->peer_address);
      set_text (&member->caller_address, update->caller_address);
      set_text (&member->domain, update->domain);
    }
  table->hashes[bucket_of (member)] ^= record_hash (member);
  add_to_probe_list (table, member);
  add_to_timer_list (table, member);
}

void
swim_table_get_update (const swim_member_t *member, swim_update_t *update)
{
  *update = (swim_update_t){ .id = member->id,
                             .status = (swim_status_t)member->status,
                             .flags = member->flags,
                             .incarnation = member->incarnation,
                             .peer_address = member->peer_address,
                             .caller_address = member->caller_address,
                             .domain = member->domain };
}

static unsigned
transmit_limit (const swim_table_t *table)
{
  double steps = ceil (log2 ((double)swim_table_live_count (table) + 1));
  return (unsigned)MIN (SWIM_TRANSMIT_FACTOR * steps, SWIM_MAX_TRANSMITS);
}

void
swim_table_enqueue_update (swim_table_t *table, swim_member_t *member)
{
  member->transmit_count = 0;
  list_remove (&member->queue_node);
  list_push_back (&table->update_queues[0], &member->queue_node);
}

swim_member_t *
swim_table_dequeue_update (swim_table_t *table, size_t size,
                           size_t (*size_of) (const swim_update_t *update), list_t *sent)
{
  for (int i = 0; i <= SWIM_MAX_TRANSMITS; i++)
    {
      if (list_is_empty (&table->update_queues[i]))
        continue;
      swim_member_t *member
          = CONTAINER_OF (list_first (&table->update_queues[i]), swim_member_t, queue_node);
      swim_update_t update;
      swim_table_get_update (member, &update);
      if (size_of (&update) > size)
        return NULL;
      list_remove (&member->queue_node);
      list_push_back (sent, &member->queue_node);
      return member;
    }
  return NULL;
}

void
swim_table_requeue_sent (swim_table_t *table, list_t *sent)
{
  unsigned limit = transmit_limit (table);
  while (!list_is_empty (sent))
    {
      swim_member_t *member = CONTAINER_OF (list_pop_front (sent), swim_member_t, queue_node);
      member->transmit_count++;
      if (member->transmit_count < limit)
        list_push_back (&table->update_queues[member->transmit_count], &member->queue_node);
    }
}

static void
probe_list_shuffle (swim_table_t *table, swim_probe_list_t *probes)
{
  for (guint i = probes->members->len; i > 1; i--)
    {
      guint j = (guint)rng_uniform_int (table->rng, i);
      swim_member_t *a = g_ptr_array_index (probes->members, i - 1);
      swim_member_t *b = g_ptr_array_index (probes->members, j);
      probes->members->pdata[i - 1] = b;
      probes->members->pdata[j] = a;
      b->probe_index = i - 1;
      a->probe_index = j;
    }
  probes->next = 0;
}

swim_member_t *
swim_table_next_probe (swim_table_t *table, bool own_domain)
{
  swim_probe_list_t *probes = own_domain ? &table->own_domain_probes : &table->other_domain_probes;
  if (probes->members->len == 0)
    probes = own_domain ? &table->other_domain_probes : &table->own_domain_probes;
  if (probes->members->len == 0)
    return NULL;
  if (probes->next >= probes->members->len)
    probe_list_shuffle (table, probes);
  return g_ptr_array_index (probes->members, probes->next++);
}

swim_member_t *
swim_table_pick_random (swim_table_t *table)
{
  guint own_count = table->own_domain_probes.members->len;
  guint total_count = own_count + table->other_domain_probes.members->len;
  if (total_count == 0)
    return NULL;
  guint index = (guint)rng_uniform_int (table->rng, total_count);
  if (index < own_count)
    return g_ptr_array_index (table->own_domain_probes.members, index);
  return g_ptr_array_index (table->other_domain_probes.members, index - own_count);
}

swim_member_t *
swim_table_pick_random_dead (swim_table_t *table)
{
  if (table->dead_count == 0)
    return NULL;
  size_t steps = (size_t)rng_uniform_int (table->rng, MIN (table->dead_count, MAX_DEAD_STEPS));
  list_node_t *node = list_first (&table->dead);
  while (steps-- > 0)
    node = node->next;
  return CONTAINER_OF (node, swim_member_t, timer_node);
}
