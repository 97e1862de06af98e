#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* request_queue - waiting requests of one class, earliest deadline first.
 *
 * A binary heap of pointers with the heap position kept in the request, so that any request is
 * removed in O(log n). The number of requests with an earlier deadline is counted in a Fenwick tree
 * over buckets of REQUEST_QUEUE_BUCKET_US; a deadline beyond the last bucket counts as the last
 * one. The queue does not own the requests. */

#define REQUEST_QUEUE_BUCKET_US 16384
#define REQUEST_QUEUE_BUCKETS 1024

/* Targets that a request remembers as tried; an older one is forgotten. */
#define REQUEST_MAX_TRIED 4

typedef struct
{
  uint64_t id;
  int64_t deadline_us;
  int64_t enqueued_us;
  int64_t dispatched_us;
  uint64_t target_id; /* once dispatched */
  uint64_t tried[REQUEST_MAX_TRIED];
  uint32_t heap_index;
  uint16_t bucket;
  uint8_t tried_count;
  uint8_t class_index;
  uint8_t state; /* of the scheduler */
} queued_request_t;

typedef struct
{
  queued_request_t **heap;
  size_t length;
  size_t capacity;
  uint32_t tree[REQUEST_QUEUE_BUCKETS + 1];
} request_queue_t;

void request_queue_init (request_queue_t *q);
void request_queue_destroy (request_queue_t *q);

void request_queue_push (request_queue_t *q, int64_t now_us, queued_request_t *request);
void request_queue_remove (request_queue_t *q, queued_request_t *request);

/* Returns the request with the earliest deadline, or NULL. */
queued_request_t *request_queue_first (const request_queue_t *q);

/* Returns the number of requests that are due before DEADLINE_US, exact to one bucket. */
size_t request_queue_rank (const request_queue_t *q, int64_t now_us, int64_t deadline_us);
