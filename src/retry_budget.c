#include "retry_budget.h"

#include <glib.h>
#include <string.h>

/* Largest exponent of the back-off, so that the shift cannot overflow. */
#define MAX_EXPONENT 20

void
retry_budget_init (retry_budget_t *budget, const retry_budget_options_t *options)
{
  memset (budget, 0, sizeof (*budget));
  budget->options = *options;
}

/* Empties the slots that have left the window and returns the current one. */
static unsigned
advance (retry_budget_t *budget, int64_t now_us)
{
  int64_t number = now_us / RETRY_BUDGET_SLOT_US;
  int64_t steps = MIN (number - budget->slot_number, RETRY_BUDGET_SLOTS);
  for (int64_t i = 0; i < steps; i++)
    {
      unsigned slot = (unsigned)((number - i) % RETRY_BUDGET_SLOTS);
      budget->firsts[slot] = 0;
      budget->retries[slot] = 0;
    }
  budget->slot_number = MAX (budget->slot_number, number);
  return (unsigned)(budget->slot_number % RETRY_BUDGET_SLOTS);
}

void
retry_budget_first (retry_budget_t *budget, int64_t now_us)
{
  budget->firsts[advance (budget, now_us)]++;
}

bool
retry_budget_take (retry_budget_t *budget, int64_t now_us)
{
  unsigned current = advance (budget, now_us);
  uint64_t firsts = 0;
  uint64_t retries = 0;
  for (int i = 0; i < RETRY_BUDGET_SLOTS; i++)
    {
      firsts += budget->firsts[i];
      retries += budget->retries[i];
    }

  double minimum = budget->options.minimum_rate * RETRY_BUDGET_SLOTS;
  if ((double)(retries + 1) > budget->options.share * (double)firsts + minimum)
    return false;
  budget->retries[current]++;
  return true;
}

int64_t
retry_budget_delay_us (rng_t *rng, unsigned retry, int64_t base_us, int64_t cap_us)
{
  int64_t limit = MIN (cap_us, base_us << MIN (retry, MAX_EXPONENT));
  return (int64_t)rng_below (rng, (uint64_t)limit + 1);
}
