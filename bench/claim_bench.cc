// Sizes and times of the state of the claims group. Usage:
//   claim_bench RECORDS ANSWER_BYTES
// Fills a claim_store with RECORDS claims, each granted and completed with an answer of
// ANSWER_BYTES, then saves and restores it. Sizes repeat exactly; times are processor time of one
// run and vary.

#include <malloc.h>
#include <time.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

extern "C"
{
#include "claim_store.h"
#include "rng.h"
}

namespace
{
constexpr uint64_t RETENTION_MS = 30ULL * 24 * 3600 * 1000;

// Processor time, which depends less on other programs than wall-clock time.
double
cpu_ms ()
{
  struct timespec time;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return time.tv_sec * 1e3 + time.tv_nsec / 1e6;
}

// Returns the bytes of heap in use.
size_t
heap_bytes ()
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

// Keys, nonces and digests are random, as they are in use.
void
fill_random (rng_t *rng, uint8_t *bytes, size_t size)
{
  for (size_t i = 0; i < size; i += sizeof (uint64_t))
    {
      uint64_t value = rng_next (rng);
      memcpy (bytes + i, &value, sizeof (value));
    }
}

void
apply_command (claim_store_t *store, const claim_command_t *command, claim_result_type_t expected)
{
  claim_result_t result = {};
  claim_store_apply (store, command, &result);
  if (result.type != expected)
    {
      fprintf (stderr, "unexpected result %d of command %d\n", result.type, command->type);
      exit (1);
    }
  claim_result_clear (&result);
}

void
add_claim (claim_store_t *store, rng_t *rng, const std::string &answer)
{
  claim_command_t command = {};
  command.type = CLAIM_COMMAND_GRANT;
  command.in_progress_timeout_ms = 5000;
  command.retention_ms = RETENTION_MS;
  command.advance_ms = 1;
  fill_random (rng, command.key, sizeof (command.key));
  fill_random (rng, command.nonce, sizeof (command.nonce));
  fill_random (rng, command.body_digest, sizeof (command.body_digest));
  apply_command (store, &command, CLAIM_RESULT_GRANTED);

  command.type = CLAIM_COMMAND_OUTCOME;
  command.status = 201;
  if (!answer.empty ())
    command.body = g_bytes_new (answer.data (), answer.size ());
  apply_command (store, &command, CLAIM_RESULT_RECORDED);
  claim_command_clear (&command);
}

size_t
request_size (const claim_command_t *command)
{
  wire_writer_t writer;
  claim_request_encode (&writer, 1, 1, command);
  size_t size = writer.buffer.size;
  wire_writer_destroy (&writer);
  return size;
}

void
print_request_sizes (const std::string &answer)
{
  rng_t rng;
  rng_init (&rng, 2);
  claim_command_t command = {};
  fill_random (&rng, command.key, sizeof (command.key));
  fill_random (&rng, command.nonce, sizeof (command.nonce));
  fill_random (&rng, command.body_digest, sizeof (command.body_digest));
  command.type = CLAIM_COMMAND_GRANT;
  command.in_progress_timeout_ms = 5000;
  command.retention_ms = RETENTION_MS;
  size_t grant_bytes = request_size (&command);
  command.type = CLAIM_COMMAND_OUTCOME;
  command.status = 201;
  command.body = g_bytes_new (answer.data (), answer.size ());
  printf ("requests: grant %zu bytes, outcome %zu bytes\n", grant_bytes, request_size (&command));
  claim_command_clear (&command);
}

void
measure_store (int records, const std::string &answer)
{
  rng_t rng;
  rng_init (&rng, 1);
  claim_store_t store;
  claim_store_init (&store);
  size_t before_bytes = heap_bytes ();
  double start_ms = cpu_ms ();
  for (int i = 0; i < records; i++)
    add_claim (&store, &rng, answer);
  double filled_ms = cpu_ms ();
  size_t held_bytes = heap_bytes () - before_bytes;
  GByteArray *saved = claim_store_snapshot (&store);
  double done_ms = cpu_ms ();
  printf ("%d records with %zu bytes of answer: %.1f bytes of heap a record, %.0f commands/s\n",
          records, answer.size (), (double)held_bytes / records,
          2e3 * records / (filled_ms - start_ms));
  printf ("snapshot: %u bytes (%.1f a record), saved in %.1f ms\n", saved->len,
          (double)saved->len / records, done_ms - filled_ms);

  claim_store_t restored;
  claim_store_init (&restored);
  anv_error_t err = {};
  start_ms = cpu_ms ();
  if (!claim_store_restore (&restored, saved->data, saved->len, &err))
    {
      fprintf (stderr, "%s\n", err.text);
      exit (1);
    }
  printf ("restore: %.1f ms, %zu records\n", cpu_ms () - start_ms, claim_store_count (&restored));
  g_byte_array_unref (saved);
  claim_store_destroy (&restored);
  claim_store_destroy (&store);
}
}

int
main (int argc, char **argv)
{
  if (argc != 3)
    {
      fprintf (stderr, "usage: claim_bench RECORDS ANSWER_BYTES\n");
      return 2;
    }
  std::string answer ((size_t)atoi (argv[2]), 'a');
  print_request_sizes (answer);
  measure_store (atoi (argv[1]), answer);
  return 0;
}
