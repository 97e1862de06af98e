#include "link_clock.h"

#include <glib.h>
#include <string.h>

void
link_clock_init (link_clock_t *clock)
{
  memset (clock, 0, sizeof (*clock));
  for (int i = 0; i < LINK_CLOCK_SLOTS; i++)
    clock->slots[i].number = -1;
}

/* Returns the index of the slot of NOW_US, emptied if it holds an earlier round. */
static int
current_slot (link_clock_t *clock, int64_t now_us)
{
  int64_t number = now_us / LINK_CLOCK_SLOT_US;
  int index = (int)(number % LINK_CLOCK_SLOTS);
  if (clock->slots[index].number != number)
    {
      memset (&clock->slots[index], 0, sizeof (clock->slots[index]));
      clock->slots[index].number = number;
    }
  return index;
}

static bool
slot_is_recent (const link_clock_t *clock, int index, int64_t now_us)
{
  int64_t number = clock->slots[index].number;
  return number >= 0 && number > now_us / LINK_CLOCK_SLOT_US - LINK_CLOCK_SLOTS;
}

int64_t
link_clock_excess (link_clock_t *clock, int64_t now_us, int64_t sent_us)
{
  int64_t delay = now_us - sent_us;
  int slot = current_slot (clock, now_us);
  if (!clock->slots[slot].has_delay || delay < clock->slots[slot].smallest_delay)
    {
      clock->slots[slot].has_delay = true;
      clock->slots[slot].smallest_delay = delay;
    }

  int64_t smallest = delay;
  for (int i = 0; i < LINK_CLOCK_SLOTS; i++)
    {
      if (slot_is_recent (clock, i, now_us) && clock->slots[i].has_delay)
        smallest = MIN (smallest, clock->slots[i].smallest_delay);
    }
  return delay - smallest;
}

void
link_clock_calibrate (link_clock_t *clock, int64_t now_us, int64_t remote_us, int64_t not_before_us)
{
  int64_t offset = not_before_us - remote_us;
  int slot = current_slot (clock, now_us);
  if (!clock->slots[slot].has_offset || offset > clock->slots[slot].largest_offset)
    {
      clock->slots[slot].has_offset = true;
      clock->slots[slot].largest_offset = offset;
    }
}

int64_t
link_clock_age (const link_clock_t *clock, int64_t now_us, int64_t sent_us)
{
  bool known = false;
  int64_t offset = 0;
  for (int i = 0; i < LINK_CLOCK_SLOTS; i++)
    {
      if (!slot_is_recent (clock, i, now_us) || !clock->slots[i].has_offset)
        continue;
      offset
          = known ? MAX (offset, clock->slots[i].largest_offset) : clock->slots[i].largest_offset;
      known = true;
    }
  if (!known)
    return LINK_CLOCK_AGE_UNKNOWN;
  return MAX (0, now_us - sent_us - offset);
}
