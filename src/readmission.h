#pragma once

#include <stdbool.h>
#include <stdint.h>

/* readmission - how long an ejected target stays out, and how it returns.
 *
 * Each ejection doubles the hold up to READMISSION_MAX_HOLD_US. After the hold the target is
 * probed; a run of good probes that grows with the number of ejections ends the ejection. A failed
 * probe starts the run again and extends the hold by half. Time without an ejection makes the
 * target forget one doubling per ten holds. */

#define READMISSION_FIRST_HOLD_US 5000000
#define READMISSION_MAX_HOLD_US 300000000
#define READMISSION_PROBE_GAP_US 500000

typedef struct
{
  uint32_t ejections; /* doublings that count for the next hold */
  bool ejected;
  int64_t hold_us;
  int64_t hold_until_us;
  int64_t readmitted_us; /* 0: never */
  uint32_t good_probes;
} readmission_t;

void readmission_eject (readmission_t *r, int64_t now_us);

/* Ends the ejection. One that the floor ends before the target is ready does not count for the next
 * hold. */
void readmission_return (readmission_t *r, int64_t now_us);

void readmission_probe (readmission_t *r, int64_t now_us, bool good);

/* Returns whether the target needs a probe, given the time of the last one. */
bool readmission_wants_probe (const readmission_t *r, int64_t now_us, int64_t last_probe_us);

/* Returns whether the target has passed its hold and its probes. */
bool readmission_is_ready (const readmission_t *r, int64_t now_us);
