#pragma once

#include <stdbool.h>
#include <stdint.h>

/* readmission - decides how long a target stays ejected and when it may return.
 *
 * An ejection starts with a hold time, which doubles with each ejection up to
 * READMISSION_MAX_HOLD_US. After the hold the target is probed. It may return after a number of
 * consecutive successful probes, which grows with the number of ejections. A failed probe resets
 * this count and extends the hold to at least half a hold time from then. One ejection expires for
 * every ten hold times that the target stays in service. */

#define READMISSION_FIRST_HOLD_US 5000000
#define READMISSION_MAX_HOLD_US 300000000
#define READMISSION_PROBE_INTERVAL_US 500000

typedef struct
{
  uint32_t ejection_count; /* ejections that have not expired; each doubles the next hold */
  bool ejected;
  int64_t hold_us;
  int64_t hold_until_us;
  int64_t readmitted_us;           /* 0: never */
  uint32_t successful_probe_count; /* consecutive, in this ejection */
} readmission_t;

/* Starts an ejection and its hold. */
void readmission_eject (readmission_t *r, int64_t now_us);

/* Ends the ejection. An ejection that the floor ends before the target is ready does not lengthen
 * the next hold. */
void readmission_readmit (readmission_t *r, int64_t now_us);

/* Records the result of a probe of the ejected target. */
void readmission_record_probe (readmission_t *r, int64_t now_us, bool success);

/* Returns whether a probe is due, given the start of the last one. */
bool readmission_wants_probe (const readmission_t *r, int64_t now_us, int64_t last_probe_us);

/* Returns whether the hold is over and enough consecutive probes have succeeded. */
bool readmission_is_ready (const readmission_t *r, int64_t now_us);
