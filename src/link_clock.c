#include "link_clock.h"

#include <glib.h>
#include <string.h>

void
link_clock_init (link_clock_t *clock)
{
  memset (clock, 0, sizeof (*clock));
  for (int i = 0; i < LINK_CLOCK_BUCKET_COUNT; i++)
    clock->buckets[i].number = -1;
}

/* Returns the index of the bucket for NOW_US. Clears the bucket first if it holds older samples. */
static int
current_bucket (link_clock_t *clock, int64_t now_us)
{
  int64_t number = now_us / LINK_CLOCK_BUCKET_US;
  int index = (int)(number % LINK_CLOCK_BUCKET_COUNT);
  if (clock->buckets[index].number != number)
    {
      memset (&clock->buckets[index], 0, sizeof (clock->buckets[index]));
      clock->buckets[index].number = number;
    }
  return index;
}

static bool
is_bucket_recent (const link_clock_t *clock, int index, int64_t now_us)
{
  int64_t number = clock->buckets[index].number;
  return number >= 0 && number > now_us / LINK_CLOCK_BUCKET_US - LINK_CLOCK_BUCKET_COUNT;
}

int64_t
link_clock_record_message (link_clock_t *clock, int64_t now_us, int64_t sent_us)
{
  int64_t delay_us = now_us - sent_us;
  int bucket = current_bucket (clock, now_us);
  if (!clock->buckets[bucket].has_delay || delay_us < clock->buckets[bucket].min_delay_us)
    {
      clock->buckets[bucket].has_delay = true;
      clock->buckets[bucket].min_delay_us = delay_us;
    }

  int64_t min_delay_us = delay_us;
  for (int i = 0; i < LINK_CLOCK_BUCKET_COUNT; i++)
    {
      if (is_bucket_recent (clock, i, now_us) && clock->buckets[i].has_delay)
        min_delay_us = MIN (min_delay_us, clock->buckets[i].min_delay_us);
    }
  return delay_us - min_delay_us;
}

void
link_clock_record_round_trip (link_clock_t *clock, int64_t now_us, int64_t sender_us,
                              int64_t not_before_us)
{
  int64_t offset_us = not_before_us - sender_us;
  int bucket = current_bucket (clock, now_us);
  if (!clock->buckets[bucket].has_offset || offset_us > clock->buckets[bucket].max_offset_us)
    {
      clock->buckets[bucket].has_offset = true;
      clock->buckets[bucket].max_offset_us = offset_us;
    }
}

int64_t
link_clock_age_us (const link_clock_t *clock, int64_t now_us, int64_t sent_us)
{
  bool known = false;
  int64_t offset_us = 0;
  for (int i = 0; i < LINK_CLOCK_BUCKET_COUNT; i++)
    {
      if (!is_bucket_recent (clock, i, now_us) || !clock->buckets[i].has_offset)
        continue;
      offset_us = known ? MAX (offset_us, clock->buckets[i].max_offset_us)
                        : clock->buckets[i].max_offset_us;
      known = true;
    }
  if (!known)
    return LINK_CLOCK_AGE_UNKNOWN;
  return MAX (0, now_us - sent_us - offset_us);
}
