// Simulates instances that run swim in virtual time over a network that loses, delays and reorders
// messages. Used by the tests and by bench/membership_model.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

extern "C"
{
#include "rng.h"
#include "swim.h"
}

// Virtual time is in microseconds.
static const int64_t SIM_MS = 1000;
static const int64_t SIM_S = 1000000;
// IPv4 and UDP headers of a datagram, added to the size of each message.
static const size_t SIM_DATAGRAM_HEADER_BYTES = 28;

struct sim_options_t
{
  int nodes = 8;
  int domains = 3;
  uint64_t seed = 1;
  double loss = 0; // probability that a message is lost
  int64_t min_delay_us = 1 * SIM_MS;
  int64_t max_delay_us = 10 * SIM_MS;
  bool preload = false; // all members know each other at the start
  double own_domain_share = 0.75;
  unsigned max_health_score = 8;
  bool suspects_reported_deaths = true;
  int64_t fetch_us = 20 * SIM_MS; // time to fetch and install a configuration version
};

struct sim_node_t
{
  swim_io_t io;
  class Sim *sim;
  int index;
  std::string id;
  std::string address;
  std::string domain;
  swim_t swim;
  bool running;
  unsigned generation; // number of starts; ticks of an earlier process are ignored
  int64_t paused_until_us;
  int64_t handling_delay_us; // added to the delay of each message to this node
  uint64_t last_incarnation;
  uint64_t messages;
  uint64_t bytes;
  uint64_t bytes_across_domains; // sent to other failure domains
  uint64_t table_record_bytes;   // sent as table records in a synchronisation
};

class Sim
{
public:
  explicit Sim (const sim_options_t &options) : options_ (options), nodes (options.nodes)
  {
    rng_init (&rng, options.seed);
    for (int i = 0; i < options.nodes; i++)
      {
        sim_node_t &node = nodes[i];
        node = {};
        node.io = { send, on_member, on_version };
        node.sim = this;
        node.index = i;
        node.id = "entry-" + std::to_string (10000 + i);
        node.address
            = "10.20." + std::to_string (i / 250) + "." + std::to_string (i % 250) + ":7946";
        node.domain = "fd-" + std::to_string (i % options.domains);
      }
    for (int i = 0; i < std::min (3, options.nodes); i++)
      seeds_.push_back (nodes[i].address.c_str ());
  }

  ~Sim ()
  {
    for (sim_node_t &node : nodes)
      if (node.running)
        swim_destroy (&node.swim);
  }

  // Starts the process of a node. Adds CLOCK_MS to its wall clock.
  void
  start (int index, int64_t clock_ms = 0)
  {
    sim_node_t &node = nodes[index];
    swim_options_t options;
    swim_options_init (&options);
    options.id = node.id.c_str ();
    options.peer_address = node.address.c_str ();
    options.caller_address = node.address.c_str ();
    options.domain = node.domain.c_str ();
    options.incarnation = (uint64_t)(1700000000000 + now_us / SIM_MS + clock_ms);
    options.seeds = seeds_.data ();
    options.seed_count = seeds_.size ();
    options.random_seed = rng_next (&rng);
    options.own_domain_share = options_.own_domain_share;
    options.max_health_score = options_.max_health_score;
    options.suspects_reported_deaths = options_.suspects_reported_deaths;
    swim_init (&node.swim, &options, &node.io, now_us);
    node.running = true;
    node.generation++;
    node.last_incarnation = options.incarnation;
    schedule_tick (index, now_us + (int64_t)rng_uniform_int (&rng, SWIM_TICK_US));
  }

  void
  start_all ()
  {
    for (size_t i = 0; i < nodes.size (); i++)
      start ((int)i);
    for (size_t i = 0; options_.preload && i < nodes.size (); i++)
      preload (nodes[i]);
  }

  void
  crash (int index)
  {
    nodes[index].running = false;
    swim_destroy (&nodes[index].swim);
  }

  void
  pause (int index, int64_t length_us)
  {
    nodes[index].paused_until_us = now_us + length_us;
  }

  // Runs a function at the given virtual time.
  void
  schedule (int64_t due_us, std::function<void ()> run)
  {
    push (due_us, event_t{ 0, 0, -1, -1, 0, {}, std::move (run) });
  }

  void
  run_until (int64_t end_us)
  {
    while (!queue_.empty () && queue_.top ()->due_us <= end_us)
      {
        std::shared_ptr<event_t> event = queue_.top ();
        queue_.pop ();
        now_us = event->due_us;
        handle (*event);
      }
    now_us = end_us;
  }

  // Returns node B's entry in the member table of node A, or NULL.
  const swim_member_t *
  find_member (int a, int b)
  {
    return swim_find (&nodes[a].swim, nodes[b].id.c_str ());
  }

  // Returns the number of pairs of running nodes where the first does not list the second as alive
  // with its incarnation, plus the pairs of a running and a stopped node where the first lists the
  // second as alive or suspect.
  int
  wrong_views ()
  {
    int wrong = 0;
    for (size_t a = 0; a < nodes.size (); a++)
      for (size_t b = 0; nodes[a].running && b < nodes.size (); b++)
        {
          const swim_member_t *member = find_member ((int)a, (int)b);
          if (nodes[b].running)
            wrong += member == nullptr || member->status != SWIM_ALIVE
                     || member->incarnation != nodes[b].swim.table.self->incarnation;
          else
            wrong += member != nullptr && member->status != SWIM_DEAD;
        }
    return wrong;
  }

  int64_t now_us = 0;
  rng_t rng;
  std::function<bool (int from, int to)> blocked; // true: messages on this link are lost
  std::function<void (int node, swim_event_t event, const swim_member_t *member)> member_hook;
  std::function<void (int node, uint64_t version)> version_hook;
  std::function<void (int node)> tick_hook;
  double loss_factor = 1;       // multiplies the loss of the options
  uint64_t delivered_count = 0; // delivered messages

private:
  struct event_t
  {
    int64_t due_us;
    uint64_t sequence; // events of the same time run in this order
    int node;
    int from; // -1 for a tick
    unsigned generation;
    std::string bytes;
    std::function<void ()> run;
  };

  struct runs_later_t
  {
    bool
    operator() (const std::shared_ptr<event_t> &a, const std::shared_ptr<event_t> &b) const
    {
      return a->due_us != b->due_us ? a->due_us > b->due_us : a->sequence > b->sequence;
    }
  };

  void
  push (int64_t due_us, event_t event)
  {
    event.due_us = due_us;
    event.sequence = next_sequence_++;
    queue_.push (std::make_shared<event_t> (std::move (event)));
  }

  void
  schedule_tick (int index, int64_t due_us)
  {
    push (due_us, event_t{ 0, 0, index, -1, nodes[index].generation, {}, nullptr });
  }

  // Adds all other members to the table of NODE, which has then nothing to announce.
  void
  preload (sim_node_t &node)
  {
    for (sim_node_t &other : nodes)
      {
        swim_update_t update;
        swim_table_get_update (other.swim.table.self, &update);
        if (other.index != node.index)
          swim_table_add (&node.swim.table, &update);
      }
    node.swim.quick_syncs_left = 0;
    node.swim.next_sync_us = (int64_t)rng_uniform_int (&rng, SWIM_SYNC_INTERVAL_US);
    node.swim.table.self->transmit_count = SWIM_MAX_TRANSMITS;
    list_remove (&node.swim.table.self->queue_node);
  }

  void
  handle (event_t &event)
  {
    if (event.run)
      {
        event.run ();
        return;
      }
    sim_node_t &node = nodes[event.node];
    if (now_us < node.paused_until_us)
      {
        push (node.paused_until_us, std::move (event));
        return;
      }
    if (event.from < 0)
      tick (node, event.generation);
    else if (node.running)
      deliver (node, event);
  }

  void
  tick (sim_node_t &node, unsigned generation)
  {
    if (!node.running || generation != node.generation)
      return;
    swim_tick (&node.swim, now_us);
    if (tick_hook)
      tick_hook (node.index);
    schedule_tick (node.index, now_us + SWIM_TICK_US);
  }

  void
  deliver (sim_node_t &node, const event_t &event)
  {
    wire_reader_t reader;
    wire_type_t type;
    swim_message_t message;
    delivered_count++;
    if (!wire_reader_init (&reader, (const uint8_t *)event.bytes.data (), event.bytes.size (),
                           &type, nullptr))
      g_error ("malformed message");
    if (!swim_wire_decode (&reader, type, &message, nullptr))
      g_error ("invalid message");
    swim_receive (&node.swim, now_us, nodes[event.from].address.c_str (), &message);
    swim_wire_clear (&message);
    wire_reader_destroy (&reader);
  }

  int
  index_of (const char *address) const
  {
    int a = 0;
    int b = 0;
    sscanf (address, "10.20.%d.%d", &a, &b);
    return a * 250 + b;
  }

  static void
  send (swim_io_t *io, const char *address, const swim_message_t *message)
  {
    sim_node_t *node = (sim_node_t *)io;
    Sim *sim = node->sim;
    int to = sim->index_of (address);
    wire_writer_t writer;
    swim_wire_encode (message, &writer);
    size_t size = writer.buffer.size + SIM_DATAGRAM_HEADER_BYTES;
    node->messages++;
    node->bytes += size;
    node->table_record_bytes += message->sync_stage == SWIM_SYNC_RECORDS ? size : 0;
    node->bytes_across_domains += node->domain != sim->nodes[to].domain ? size : 0;
    bool lost = rng_uniform_double (&sim->rng) < sim->options_.loss * sim->loss_factor
                || (sim->blocked && sim->blocked (node->index, to));
    if (!lost)
      {
        int64_t delay_range_us = sim->options_.max_delay_us - sim->options_.min_delay_us;
        int64_t delay_us
            = sim->options_.min_delay_us + (int64_t)rng_uniform_int (&sim->rng, delay_range_us + 1);
        delay_us += sim->nodes[to].handling_delay_us;
        sim->push (sim->now_us + delay_us,
                   event_t{ 0, 0, to, node->index, 0,
                            std::string (writer.buffer.data, writer.buffer.size), nullptr });
      }
    wire_writer_destroy (&writer);
  }

  static void
  on_member (swim_io_t *io, swim_event_t event, const swim_member_t *member)
  {
    sim_node_t *node = (sim_node_t *)io;
    if (node->sim->member_hook)
      node->sim->member_hook (node->index, event, member);
  }

  static void
  on_version (swim_io_t *io, const swim_member_t *member, uint64_t version, uint64_t digest)
  {
    sim_node_t *node = (sim_node_t *)io;
    Sim *sim = node->sim;
    sim->schedule (sim->now_us + sim->options_.fetch_us, [=] {
      if (!node->running || node->swim.version >= version)
        return;
      swim_set_version (&node->swim, sim->now_us, version, digest);
      if (sim->version_hook)
        sim->version_hook (node->index, version);
    });
  }

  sim_options_t options_;
  std::vector<const char *> seeds_;
  std::priority_queue<std::shared_ptr<event_t>, std::vector<std::shared_ptr<event_t> >,
                      runs_later_t>
      queue_;
  uint64_t next_sequence_ = 0;

public:
  std::vector<sim_node_t> nodes;
};
