#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* request_queue - queue of the waiting requests of one class, earliest deadline first.
 *
 * A binary heap of pointers. Each request stores its heap index, so that any request can be removed
 * in O(log n). A Fenwick tree over deadline buckets of REQUEST_QUEUE_BUCKET_US counts the requests
 * with an earlier deadline. The buckets form a ring that starts at the bucket of the current time;
 * a deadline beyond its last bucket is counted in the last one. The queue does not own the
 * requests. */

#define REQUEST_QUEUE_BUCKET_US 16384
#define REQUEST_QUEUE_BUCKET_COUNT 1024

/* Maximum number of tried targets that a request records; older ones are dropped. */
#define REQUEST_MAX_TRIED 4

typedef struct
{
  uint64_t id;
  int64_t deadline_us;
  int64_t enqueued_us;
  int64_t dispatched_us;
  uint64_t target_id; /* valid once dispatched */
  uint64_t tried[REQUEST_MAX_TRIED];
  uint32_t heap_index;
  uint16_t bucket;
  uint8_t tried_count;
  uint8_t class_index;
  uint8_t state; /* used only by the scheduler */
} queued_request_t;

typedef struct
{
  queued_request_t **heap;
  size_t length;
  size_t capacity;                               /* allocated elements of heap */
  uint32_t tree[REQUEST_QUEUE_BUCKET_COUNT + 1]; /* Fenwick tree, indices from 1 */
} request_queue_t;

void request_queue_init (request_queue_t *q);
void request_queue_destroy (request_queue_t *q);

void request_queue_push (request_queue_t *q, int64_t now_us, queued_request_t *request);
void request_queue_remove (request_queue_t *q, queued_request_t *request);

/* Returns the request with the earliest deadline, or NULL. */
queued_request_t *request_queue_first (const request_queue_t *q);

/* Returns how many queued requests have a deadline between NOW_US and DEADLINE_US; 0 if DEADLINE_US
 * has passed. Exact to one bucket, unless a deadline was beyond the ring when its request was
 * queued. */
size_t request_queue_count_before (const request_queue_t *q, int64_t now_us, int64_t deadline_us);
