#include "request_queue.h"

#include <glib.h>

void
request_queue_init (request_queue_t *q)
{
  *q = (request_queue_t){ 0 };
}

void
request_queue_destroy (request_queue_t *q)
{
  g_free (q->heap);
  request_queue_init (q);
}

static void
set_at (request_queue_t *q, size_t index, queued_request_t *request)
{
  q->heap[index] = request;
  request->heap_index = (uint32_t)index;
}

static bool
is_before (const queued_request_t *a, const queued_request_t *b)
{
  if (a->deadline_us != b->deadline_us)
    return a->deadline_us < b->deadline_us;
  return a->id < b->id;
}

static void
sift_up (request_queue_t *q, size_t index)
{
  queued_request_t *request = q->heap[index];

  while (index > 0)
    {
      size_t parent = (index - 1) / 2;
      if (!is_before (request, q->heap[parent]))
        break;
      set_at (q, index, q->heap[parent]);
      index = parent;
    }
  set_at (q, index, request);
}

static void
sift_down (request_queue_t *q, size_t index)
{
  queued_request_t *request = q->heap[index];

  for (;;)
    {
      size_t child = 2 * index + 1;
      if (child >= q->length)
        break;
      if (child + 1 < q->length && is_before (q->heap[child + 1], q->heap[child]))
        child++;
      if (!is_before (q->heap[child], request))
        break;
      set_at (q, index, q->heap[child]);
      index = child;
    }
  set_at (q, index, request);
}

static void
tree_add (request_queue_t *q, uint32_t bucket, int32_t change)
{
  for (uint32_t i = bucket + 1; i <= REQUEST_QUEUE_BUCKET_COUNT; i += i & -i)
    q->tree[i] += (uint32_t)change;
}

/* Returns the number of requests in buckets below BUCKET. */
static uint32_t
tree_count_below (const request_queue_t *q, uint32_t bucket)
{
  uint32_t sum = 0;
  for (uint32_t i = bucket; i > 0; i -= i & -i)
    sum += q->tree[i];
  return sum;
}

static uint32_t
bucket_of (int64_t now_us, int64_t deadline_us)
{
  int64_t last = now_us / REQUEST_QUEUE_BUCKET_US + REQUEST_QUEUE_BUCKET_COUNT - 1;
  int64_t bucket = deadline_us / REQUEST_QUEUE_BUCKET_US;
  return (uint32_t)((bucket < last ? bucket : last) % REQUEST_QUEUE_BUCKET_COUNT);
}

void
request_queue_push (request_queue_t *q, int64_t now_us, queued_request_t *request)
{
  if (q->length == q->capacity)
    {
      q->capacity = q->capacity == 0 ? 16 : 2 * q->capacity;
      q->heap = g_renew (queued_request_t *, q->heap, q->capacity);
    }
  request->bucket = (uint16_t)bucket_of (now_us, request->deadline_us);
  tree_add (q, request->bucket, 1);
  q->heap[q->length] = request;
  sift_up (q, q->length++);
}

void
request_queue_remove (request_queue_t *q, queued_request_t *request)
{
  size_t index = request->heap_index;

  tree_add (q, request->bucket, -1);
  q->length--;
  if (index == q->length)
    return;
  set_at (q, index, q->heap[q->length]);
  sift_up (q, index);
  sift_down (q, q->heap[index]->heap_index);
}

queued_request_t *
request_queue_first (const request_queue_t *q)
{
  return q->length > 0 ? q->heap[0] : NULL;
}

size_t
request_queue_count_before (const request_queue_t *q, int64_t now_us, int64_t deadline_us)
{
  uint32_t from = bucket_of (now_us, now_us);
  uint32_t to = bucket_of (now_us, deadline_us);

  if (deadline_us <= now_us)
    return 0;
  if (from <= to)
    return tree_count_below (q, to) - tree_count_below (q, from);
  return q->length - (tree_count_below (q, from) - tree_count_below (q, to));
}
