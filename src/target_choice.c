#include "target_choice.h"

/* Weight of a new sample in the mean latency. */
#define LATENCY_GAIN 0.2

/* After a target sheds a request, its expected latency is multiplied by SHED_LATENCY_FACTOR for
 * this time, so that it gets fewer requests. */
#define SHED_PENALTY_US 100000
#define SHED_LATENCY_FACTOR 4.0

/* Part by which an announced load of 1 raises the expected latency of a target. */
#define MAX_LOAD_PENALTY 0.25
/* Lower bound of the slow-start weight. */
#define MIN_WEIGHT 0.05

/* Random draws before the free targets are searched in order. */
#define MAX_DRAWS 8

void
target_choice_init (target_choice_t *c, uint64_t seed)
{
  *c = (target_choice_t){ .by_id
                          = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free) };
  c->free_targets[TARGET_NORMAL] = g_ptr_array_new ();
  c->free_targets[TARGET_LAST_RESORT] = g_ptr_array_new ();
  rng_init (&c->rng, seed);
}

void
target_choice_destroy (target_choice_t *c)
{
  g_ptr_array_free (c->free_targets[TARGET_NORMAL], TRUE);
  g_ptr_array_free (c->free_targets[TARGET_LAST_RESORT], TRUE);
  g_hash_table_destroy (c->by_id);
}

static choice_target_t *
find_target (const target_choice_t *c, uint64_t id)
{
  return g_hash_table_lookup (c->by_id, &id);
}

static uint32_t
free_slots_of (const choice_target_t *target)
{
  return target->setting.slots > target->in_use ? target->setting.slots - target->in_use : 0;
}

/* Removes TARGET from the sums and the free targets of its tier. */
static void
detach (target_choice_t *c, choice_target_t *target)
{
  target_tier_t tier = target->setting.tier;

  if (tier == TARGET_OUT_OF_SERVICE)
    return;
  c->target_counts[tier]--;
  c->slots[tier] -= target->setting.slots;
  c->free_slots[tier] -= free_slots_of (target);
  if (!target->is_free)
    return;
  GPtrArray *list = c->free_targets[tier];
  g_ptr_array_remove_index_fast (list, target->free_index);
  if (target->free_index < list->len)
    ((choice_target_t *)g_ptr_array_index (list, target->free_index))->free_index
        = target->free_index;
  target->is_free = false;
}

/* Adds TARGET to the sums and, with a free slot, to the free targets of its tier. */
static void
attach (target_choice_t *c, choice_target_t *target)
{
  target_tier_t tier = target->setting.tier;

  if (tier == TARGET_OUT_OF_SERVICE)
    return;
  c->target_counts[tier]++;
  c->slots[tier] += target->setting.slots;
  c->free_slots[tier] += free_slots_of (target);
  if (free_slots_of (target) == 0)
    return;
  target->is_free = true;
  target->free_index = c->free_targets[tier]->len;
  g_ptr_array_add (c->free_targets[tier], target);
}

void
target_choice_set (target_choice_t *c, const target_setting_t *setting, double latency_us)
{
  choice_target_t *target = find_target (c, setting->id);

  if (target == NULL)
    {
      target = g_new0 (choice_target_t, 1);
      target->setting.id = setting->id;
      target->latency_us = latency_us;
      g_hash_table_insert (c->by_id, &target->setting.id, target);
    }
  else
    detach (c, target);
  target->setting = *setting;
  target->removed = false;
  attach (c, target);
}

void
target_choice_remove (target_choice_t *c, uint64_t id)
{
  choice_target_t *target = find_target (c, id);

  if (target == NULL)
    return;
  detach (c, target);
  target->setting.tier = TARGET_OUT_OF_SERVICE;
  target->removed = true;
  if (target->in_use == 0)
    g_hash_table_remove (c->by_id, &id);
}

static bool
was_tried (uint64_t id, const uint64_t *tried, size_t tried_count)
{
  for (size_t i = 0; i < tried_count; i++)
    {
      if (tried[i] == id)
        return true;
    }
  return false;
}

static double
expected_latency_us (const choice_target_t *target, int64_t now_us)
{
  double latency_us = target->latency_us * (1 + MAX_LOAD_PENALTY * target->setting.load);
  return now_us < target->shed_penalty_end_us ? latency_us * SHED_LATENCY_FACTOR : latency_us;
}

/* Draws a random element of LIST by weight that is not among TRIED; NULL if there is none. */
static choice_target_t *
draw_target (target_choice_t *c, GPtrArray *list, const uint64_t *tried, size_t tried_count)
{
  for (int i = 0; i < MAX_DRAWS; i++)
    {
      choice_target_t *target = g_ptr_array_index (list, rng_uniform_int (&c->rng, list->len));
      double weight = MAX (target->setting.weight, MIN_WEIGHT);
      if (rng_uniform_double (&c->rng) < weight
          && !was_tried (target->setting.id, tried, tried_count))
        return target;
    }
  for (guint i = 0; i < list->len; i++)
    {
      choice_target_t *target = g_ptr_array_index (list, i);
      if (!was_tried (target->setting.id, tried, tried_count))
        return target;
    }
  return NULL;
}

choice_target_t *
target_choice_pick (target_choice_t *c, int64_t now_us, target_tier_t tier, const uint64_t *tried,
                    size_t tried_count)
{
  GPtrArray *list = c->free_targets[tier];

  if (list->len == 0)
    return NULL;
  choice_target_t *first = draw_target (c, list, tried, tried_count);
  if (first == NULL)
    return NULL;
  choice_target_t *second = draw_target (c, list, tried, tried_count);
  return expected_latency_us (second, now_us) < expected_latency_us (first, now_us) ? second
                                                                                    : first;
}

bool
target_choice_has_untried_normal (const target_choice_t *c, const uint64_t *tried,
                                  size_t tried_count)
{
  uint32_t tried_normal_count = 0;

  for (size_t i = 0; i < tried_count; i++)
    {
      const choice_target_t *target = find_target (c, tried[i]);
      if (target != NULL && target->setting.tier == TARGET_NORMAL)
        tried_normal_count++;
    }
  return c->target_counts[TARGET_NORMAL] > tried_normal_count;
}

void
target_choice_acquire (target_choice_t *c, choice_target_t *target)
{
  detach (c, target);
  target->in_use++;
  attach (c, target);
}

void
target_choice_release (target_choice_t *c, int64_t now_us, uint64_t id, double latency_us,
                       bool shed)
{
  choice_target_t *target = find_target (c, id);

  if (target == NULL)
    return;
  detach (c, target);
  if (target->in_use > 0)
    target->in_use--;
  if (latency_us >= 0)
    target->latency_us += LATENCY_GAIN * (latency_us - target->latency_us);
  if (shed)
    target->shed_penalty_end_us = now_us + SHED_PENALTY_US;
  attach (c, target);
  if (target->removed && target->in_use == 0)
    g_hash_table_remove (c->by_id, &id);
}
