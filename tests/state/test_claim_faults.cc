#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

extern "C"
{
#include "claim_client.h"
#include "claim_store.h"
#include "rng.h"
}

// Simulates several entries and one claims group in virtual time. Only the state machine of the
// group is simulated, so acknowledged state is never lost; the Raft tests check that separately.
// Messages are lost, delayed, duplicated and reordered, entries stall and crash, and callers resend
// to other entries.
namespace
{
constexpr int64_t MS = 1000;
constexpr int ENTRY_COUNT = 4;
constexpr int KEY_COUNT = 6;
constexpr int64_t FAULTS_END_US = 20000 * MS;
constexpr int64_t RUN_END_US = 300000 * MS;

struct simulation_t;

struct entry_t
{
  claim_client_io_t io;
  simulation_t *simulation;
  int number;
  int incarnation; // a restarted process gets no replies to its earlier incarnations
  int64_t stalled_until_us;
  bool crash_pending; // set in a callback; step() then crashes the entry
  claim_client_t client;
};

struct attempt_t
{
  simulation_t *simulation;
  int entry;
  int key;
  bool pending;
  uint8_t nonce[CLAIM_NONCE_SIZE];
};

struct message_event_t
{
  int64_t due_us;
  uint64_t sequence;
  bool to_group;
  int entry;
  int incarnation;
  std::vector<uint8_t> bytes;
  bool
  operator<(const message_event_t &other) const
  {
    return due_us != other.due_us ? due_us > other.due_us : sequence > other.sequence;
  }
};

struct simulation_t
{
  rng_t rng;
  int64_t now_us = 0;
  uint64_t sequence = 0;
  claim_store_t store;
  entry_t entries[ENTRY_COUNT];
  std::priority_queue<message_event_t> queue;
  std::vector<std::unique_ptr<attempt_t> > attempts;
  std::map<int, int> dispatches;         // per key
  std::map<int, int> answered;           // per key: recorded answers that callers received
  std::map<int, bool> affected_by_crash; // per key: an entry crashed during a call for it
  bool faults = true;
  bool lose_group_state = false; // planted fault: the group loses its state once
  std::string violation;
};

bool
chance (simulation_t *sim, double probability)
{
  return rng_uniform_double (&sim->rng) < probability;
}

void
send_message (simulation_t *sim, bool to_group, int entry, const uint8_t *data, size_t size)
{
  int copies = 1;
  if (sim->faults && chance (sim, 0.25))
    copies = chance (sim, 0.7) ? 0 : 2;
  for (int i = 0; i < copies; i++)
    {
      message_event_t event;
      int64_t delay = 1 * MS + (int64_t)rng_uniform_int (&sim->rng, 20 * MS);
      if (sim->faults && chance (sim, 0.05))
        delay += (int64_t)rng_uniform_int (&sim->rng, 5000 * MS);
      event.due_us = sim->now_us + delay;
      event.sequence = sim->sequence++;
      event.to_group = to_group;
      event.entry = entry;
      event.incarnation = sim->entries[entry].incarnation;
      event.bytes.assign (data, data + size);
      sim->queue.push (event);
    }
}

void
send_to_member (claim_client_io_t *io, const char *address, const uint8_t *data, size_t size)
{
  entry_t *entry = (entry_t *)io;
  send_message (entry->simulation, true, entry->number, data, size);
}

void
send_to_relay (claim_client_io_t *io, size_t relay, const uint8_t *data, size_t size)
{
  send_to_member (io, "", data, size);
}

size_t
count_relays (claim_client_io_t *io)
{
  return 1;
}

const claim_client_io_ops_t io_ops = { send_to_member, send_to_relay, count_relays };

void
start_entry (simulation_t *sim, int number)
{
  static const char *const members[] = { "a", "b", "c", nullptr };
  entry_t *entry = &sim->entries[number];
  claim_client_options_t options = {};
  options.members = members;
  options.reply_timeout_us = 100 * MS;
  options.grant_validity_us = 2000 * MS;
  options.max_retry_interval_us = 5000 * MS;
  options.max_background_calls = 1000;
  options.retention_ms = 3600 * 1000;
  options.io = &entry->io;
  entry->io.ops = &io_ops;
  entry->simulation = sim;
  entry->number = number;
  claim_client_init (&entry->client, &options);
}

std::vector<uint8_t>
key_bytes (int key)
{
  return std::vector<uint8_t> (CLAIM_KEY_SIZE, (uint8_t)(key + 1));
}

void
handle_claim_result (void *data, const claim_result_t *result)
{
  attempt_t *attempt = (attempt_t *)data;
  simulation_t *sim = attempt->simulation;
  entry_t *entry = &sim->entries[attempt->entry];
  std::vector<uint8_t> key = key_bytes (attempt->key);

  attempt->pending = false;
  if (result->type == CLAIM_RESULT_COMPLETED)
    sim->answered[attempt->key]++;
  if (result->type != CLAIM_RESULT_GRANTED)
    return;
  // The caller has disconnected and no byte was sent, so the claim is released.
  if (sim->faults && chance (sim, 0.1))
    {
      claim_client_release (&entry->client, sim->now_us, key.data (), attempt->nonce);
      return;
    }
  bool crash_before = sim->faults && chance (sim, 0.05);
  bool crash_after = sim->faults && chance (sim, 0.05);
  if (crash_before || crash_after)
    {
      entry->crash_pending = true;
      sim->affected_by_crash[attempt->key] = true;
    }
  if (crash_before)
    return;
  if (++sim->dispatches[attempt->key] > 1)
    sim->violation = "key " + std::to_string (attempt->key) + " dispatched twice";
  if (crash_after)
    return;
  claim_client_record_outcome (&entry->client, sim->now_us, key.data (), attempt->nonce, 201,
                               nullptr, nullptr, nullptr, nullptr);
}

void
send_request (simulation_t *sim, int key)
{
  auto attempt = std::make_unique<attempt_t> ();
  int number = (int)rng_uniform_int (&sim->rng, ENTRY_COUNT);
  entry_t *entry = &sim->entries[number];
  if (entry->stalled_until_us > sim->now_us)
    return;
  attempt->simulation = sim;
  attempt->entry = number;
  attempt->key = key;
  attempt->pending = true;
  for (uint8_t &byte : attempt->nonce)
    byte = (uint8_t)rng_next (&sim->rng);
  attempt_t *attempt_data = attempt.get ();
  sim->attempts.push_back (std::move (attempt));
  uint8_t digest[CLAIM_DIGEST_SIZE] = { 9 };
  claim_client_request_grant (&entry->client, sim->now_us, key_bytes (key).data (),
                              attempt_data->nonce, digest, sim->now_us + 1500 * MS, 3000,
                              handle_claim_result, attempt_data);
}

void
crash_entry (simulation_t *sim, int number)
{
  entry_t *entry = &sim->entries[number];
  for (auto &attempt : sim->attempts)
    {
      if (attempt->entry == number && attempt->pending)
        sim->affected_by_crash[attempt->key] = true;
      attempt->pending = attempt->pending && attempt->entry != number;
    }
  // Background calls end with the process too, so a release or an outcome may be lost.
  LIST_FOREACH (&entry->client.calls, node)
  {
    for (int key = 0; key < KEY_COUNT; key++)
      sim->affected_by_crash[key] = true;
  }
  claim_client_destroy (&entry->client);
  entry->incarnation++;
  entry->crash_pending = false;
  start_entry (sim, number);
}

void
deliver_to_group (simulation_t *sim, const message_event_t &event)
{
  wire_reader_t reader;
  wire_type_t type;
  uint64_t id = 0;
  uint32_t relays_left = 0;
  claim_command_t command;
  claim_result_t result;
  wire_writer_t writer;

  ASSERT_TRUE (
      wire_reader_init (&reader, event.bytes.data (), event.bytes.size (), &type, nullptr));
  ASSERT_TRUE (claim_request_decode (&reader, &id, &relays_left, &command, nullptr));
  wire_reader_destroy (&reader);
  if (sim->faults && chance (sim, 0.1))
    {
      result = {};
      result.type = chance (sim, 0.5) ? CLAIM_RESULT_NOT_LEADER : CLAIM_RESULT_UNAVAILABLE;
    }
  else
    {
      command.advance_ms = 5;
      claim_store_apply (&sim->store, &command, &result);
    }
  claim_reply_encode (&writer, id, &result);
  // Only the process that sent the request gets the reply.
  if (event.incarnation == sim->entries[event.entry].incarnation)
    send_message (sim, false, event.entry, (const uint8_t *)writer.buffer.data, writer.buffer.size);
  wire_writer_destroy (&writer);
  claim_result_clear (&result);
  claim_command_clear (&command);
}

void
deliver_to_entry (simulation_t *sim, const message_event_t &event)
{
  entry_t *entry = &sim->entries[event.entry];
  wire_reader_t reader;
  wire_type_t type;
  uint64_t id = 0;
  claim_result_t result;

  if (event.incarnation != entry->incarnation)
    return;
  if (entry->stalled_until_us > sim->now_us)
    {
      message_event_t delayed = event;
      delayed.due_us = entry->stalled_until_us;
      delayed.sequence = sim->sequence++;
      sim->queue.push (delayed);
      return;
    }
  ASSERT_TRUE (
      wire_reader_init (&reader, event.bytes.data (), event.bytes.size (), &type, nullptr));
  ASSERT_TRUE (claim_reply_decode (&reader, &id, &result, nullptr));
  wire_reader_destroy (&reader);
  claim_client_handle_reply (&entry->client, sim->now_us, id, &result);
  claim_result_clear (&result);
}

void
inject_faults (simulation_t *sim)
{
  if (chance (sim, 0.002))
    sim->entries[rng_uniform_int (&sim->rng, ENTRY_COUNT)].stalled_until_us
        = sim->now_us + (int64_t)rng_uniform_int (&sim->rng, 60000 * MS);
  if (chance (sim, 0.001))
    sim->entries[rng_uniform_int (&sim->rng, ENTRY_COUNT)].crash_pending = true;
  if (sim->lose_group_state && sim->now_us > FAULTS_END_US / 2)
    {
      sim->lose_group_state = false;
      claim_store_destroy (&sim->store);
      claim_store_init (&sim->store);
    }
}

void
step (simulation_t *sim)
{
  const int64_t step_us = 10 * MS;
  sim->faults = sim->now_us < FAULTS_END_US;
  if (sim->faults)
    inject_faults (sim);
  for (int key = 0; key < KEY_COUNT; key++)
    {
      if (sim->answered[key] == 0 && chance (sim, sim->faults ? 0.02 : 0.003))
        send_request (sim, key);
    }
  while (!sim->queue.empty () && sim->queue.top ().due_us <= sim->now_us)
    {
      message_event_t event = sim->queue.top ();
      sim->queue.pop ();
      if (event.to_group)
        deliver_to_group (sim, event);
      else
        deliver_to_entry (sim, event);
    }
  for (int i = 0; i < ENTRY_COUNT; i++)
    {
      if (sim->entries[i].stalled_until_us <= sim->now_us)
        claim_client_tick (&sim->entries[i].client, sim->now_us);
      if (sim->entries[i].crash_pending)
        crash_entry (sim, i);
    }
  sim->now_us += step_us;
}

// Checks that each request that no crash affected was answered after the faults had ended.
void
check_all_answered (simulation_t *sim)
{
  for (int key = 0; key < KEY_COUNT; key++)
    {
      if (sim->answered[key] == 0 && !sim->affected_by_crash[key])
        sim->violation = "key " + std::to_string (key) + " never got its answer";
    }
}

struct run_result_t
{
  std::string violation;
  int dispatches;
  int answered;
};

run_result_t
run (uint64_t seed, bool lose_group_state)
{
  auto sim = std::make_unique<simulation_t> ();
  rng_init (&sim->rng, seed);
  sim->lose_group_state = lose_group_state;
  claim_store_init (&sim->store);
  for (int i = 0; i < ENTRY_COUNT; i++)
    start_entry (sim.get (), i);
  while (sim->now_us < RUN_END_US && sim->violation.empty ())
    step (sim.get ());
  if (sim->violation.empty ())
    check_all_answered (sim.get ());
  for (entry_t &entry : sim->entries)
    claim_client_destroy (&entry.client);
  claim_store_destroy (&sim->store);
  run_result_t run_result = { sim->violation, 0, 0 };
  for (int key = 0; key < KEY_COUNT; key++)
    {
      run_result.dispatches += sim->dispatches[key];
      run_result.answered += sim->answered[key] > 0;
    }
  return run_result;
}

int
seed_count (int fallback)
{
  const char *text = getenv ("ANVILLB_TEST_SEEDS");
  return text != nullptr ? atoi (text) : fallback;
}
}

// Guards against a request that is not idempotent but is dispatched twice, and against one that is
// blocked for good although it was not dispatched. ANVILLB_TEST_SEEDS sets the number of seeds.
TEST (ClaimFaults, AtMostOnceAndNotLost)
{
  int dispatches = 0;
  int answered = 0;
  for (int seed = 1; seed <= seed_count (2000); seed++)
    {
      run_result_t run_result = run ((uint64_t)seed, false);
      ASSERT_EQ (run_result.violation, "") << "seed " << seed;
      dispatches += run_result.dispatches;
      answered += run_result.answered;
    }
  printf ("dispatches %d answered %d\n", dispatches, answered);
  EXPECT_GT (answered, 0);
}

// Guards against a checker that detects nothing: it must report a group that loses acknowledged
// claims.
TEST (ClaimFaults, CheckerFindsLostState)
{
  int found = 0;
  for (int seed = 1; seed <= 20; seed++)
    found += run ((uint64_t)seed, true).violation.find ("dispatched twice") != std::string::npos;
  EXPECT_GT (found, 0);
}
