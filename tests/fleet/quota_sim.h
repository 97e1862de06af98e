#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

extern "C"
{
#include "quota_client.h"
#include "quota_owner.h"
#include "rng.h"
}

/* quota_sim - a fleet of entries and control instances in virtual time, with the load that section
 * 3 of docs/design/hard-load.md describes. Times are in microseconds. */

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;
constexpr int64_t WINDOW = 5 * S;

class quota_sim_t
{
public:
  static constexpr int CONTROLS = 5;
  static constexpr int DOMAINS = 4;
  static constexpr int TEAMS = 78;

  struct team_t
  {
    double mean_rate; // requests per second
    double factor = 1;
    quota_limit_t limit;       // at the owner
    quota_limit_t entry_limit; // at the entries
    std::vector<int> callers;  // entry of each caller
    std::vector<int64_t> admissions;
    quota_bucket_t ideal; // one bucket that decides every request at once
    int64_t offered = 0, refused = 0, ideal_refused = 0;
  };
  struct entry_t
  {
    quota_sim_t *sim;
    int index;
    quota_client_t client;
    bool dead = false, flush_pending = false;
    int64_t frozen_until = 0;
  };
  struct control_t
  {
    quota_sim_t *sim;
    quota_owner_t owner;
    bool is_owner = false, dead = false;
    int leader = 0; // as this instance knows it; -1: unknown
    int64_t frozen_until = 0;
    std::vector<int64_t> last_report; // by entry; -1: never
  };
  struct request_t
  {
    quota_request_t request; // first member
    entry_t *entry;
    int team;
  };

  std::vector<team_t> teams;
  std::vector<std::unique_ptr<entry_t> > entries;
  control_t controls[CONTROLS];
  // Whether messages between an entry and a control instance are lost.
  std::function<bool (int entry, int control)> cut = [] (int, int) { return false; };
  int64_t now = 0;

  quota_sim_t (int entry_count, uint64_t seed)
  {
    rng_init (&rng, seed);
    make_teams ();
    for (control_t &control : controls)
      {
        quota_owner_options_t options = { find_limit, this };
        control.sim = this;
        control.last_report.assign (1024, -1);
        quota_owner_init (&control.owner, &options);
      }
    for (int i = 0; i < entry_count; i++)
      add_entry ();
    every (100 * MS, [this] { count_entries (); });
    every (S, [this] { move_callers (); });
    lead (0);
    for (int i = 0; i < TEAMS; i++)
      arrive (i);
  }
  ~quota_sim_t ()
  {
    for (auto &entry : entries)
      quota_client_destroy (&entry->client);
    for (control_t &control : controls)
      quota_owner_destroy (&control.owner);
  }

  void
  at (int64_t time, std::function<void ()> action)
  {
    events.push ({ time, ++event_count, std::move (action) });
  }
  void
  run_until (int64_t end)
  {
    while (!events.empty () && events.top ().time <= end)
      {
        event_t event = events.top ();
        events.pop ();
        now = std::max (now, event.time);
        event.action ();
      }
    now = end;
  }
  entry_t *
  add_entry ()
  {
    static const quota_client_ops_t ops = { send_ask, nullptr };
    entries.push_back (std::make_unique<entry_t> ());
    entry_t *entry = entries.back ().get ();
    quota_client_options_t options = { &ops, entry };
    entry->sim = this;
    entry->index = (int)entries.size () - 1;
    quota_client_init (&entry->client, &options);
    g_autoptr (GPtrArray) addresses = g_ptr_array_new ();
    for (int i = 0; i < CONTROLS; i++)
      g_ptr_array_add (addresses, (gpointer)address_of ((i + entry->index) % CONTROLS));
    quota_client_set_instances (&entry->client, addresses);
    int64_t phase = (int64_t)rng_uniform_int (&rng, S);
    at (now + phase % (10 * MS), [this, entry] { tick (entry); });
    at (now + phase, [this, entry] { report (entry); });
    return entry;
  }
  // Makes the instance the leader: it owns the quotas, and all instances it reaches know it.
  void
  lead (
      int leader, std::function<bool (int)> reaches = [] (int) { return true; })
  {
    controls[leader].is_owner = true;
    quota_owner_reset (&controls[leader].owner, now);
    for (int i = 0; i < CONTROLS; i++)
      if (reaches (i))
        controls[i].leader = leader;
  }
  // Ends the leadership of an instance. The others forget it FORGET_US later.
  void
  depose (int leader, int64_t forget_us)
  {
    controls[leader].is_owner = false;
    controls[leader].leader = -1;
    at (now + forget_us, [this, leader] {
      for (control_t &control : controls)
        if (control.leader == leader)
          control.leader = -1;
    });
  }
  // Largest number of requests of TEAM in a window that ends within FROM and TO.
  int64_t
  worst_window (int team, int64_t from, int64_t to) const
  {
    const std::vector<int64_t> &times = teams[(size_t)team].admissions;
    size_t first = 0, worst = 0;
    for (size_t last = 0; last < times.size () && times[last] <= to; last++)
      {
        while (times[first] <= times[last] - WINDOW)
          first++;
        if (times[last] >= from)
          worst = std::max (worst, last - first + 1);
      }
    return (int64_t)worst;
  }
  static double
  allowed (const quota_limit_t &limit)
  {
    return (limit.rate * 5 + limit.burst) * 1.1 + 20;
  }

private:
  struct event_t
  {
    int64_t time;
    uint64_t number;
    std::function<void ()> action;
    bool
    operator<(const event_t &other) const
    {
      return time != other.time ? time > other.time : number > other.number;
    }
  };
  std::priority_queue<event_t> events;
  uint64_t event_count = 0;
  std::vector<std::unique_ptr<request_t> > requests; // valid until the end, as some get no verdict
  rng_t rng;

  static const char *
  address_of (int control)
  {
    static const char *const addresses[CONTROLS] = { "c0", "c1", "c2", "c3", "c4" };
    return addresses[control];
  }
  void
  make_teams ()
  {
    double sum = 0;
    for (int k = 1; k <= TEAMS; k++)
      sum += std::pow (k, -1.2);
    for (int k = 1; k <= TEAMS; k++)
      {
        team_t team;
        team.mean_rate = 1242 * std::pow (k, -1.2) / sum;
        team.limit.rate = 1.6 * team.mean_rate;
        team.limit.burst = std::max (1.0, team.limit.rate);
        team.entry_limit = team.limit;
        team.ideal = { team.limit.burst, 0 };
        team.callers.assign (1 + (size_t)team.mean_rate, 0);
        teams.push_back (team);
      }
  }
  void
  every (int64_t period, std::function<void ()> action)
  {
    at (now + period, [this, period, action] {
      action ();
      every (period, action);
    });
  }
  double
  uniform ()
  {
    return ((double)rng_uniform_int (&rng, 1 << 30) + 0.5) / (1 << 30);
  }
  bool
  serves (const entry_t *entry) const
  {
    return !entry->dead && entry->frozen_until <= now;
  }
  int
  choose_entry ()
  {
    int index = 0;
    do
      index = (int)rng_uniform_int (&rng, entries.size ());
    while (!serves (entries[(size_t)index].get ()));
    return index;
  }
  void
  move_callers ()
  {
    for (team_t &team : teams)
      for (int &caller : team.callers)
        caller = choose_entry ();
  }
  void
  arrive (int index)
  {
    team_t &team = teams[(size_t)index];
    double gap_s = -std::log (uniform ()) / (team.mean_rate * team.factor);
    at (now + (int64_t)(gap_s * S), [this, index, &team] {
      int &caller = team.callers[rng_uniform_int (&rng, team.callers.size ())];
      if (!serves (entries[(size_t)caller].get ()))
        caller = choose_entry ();
      submit (entries[(size_t)caller].get (), index);
      arrive (index);
    });
  }
  void
  submit (entry_t *entry, int team)
  {
    requests.push_back (std::make_unique<request_t> ());
    request_t *request = requests.back ().get ();
    request->entry = entry;
    request->team = team;
    request->request.on_verdict = on_verdict;
    team_t &of = teams[(size_t)team];
    of.offered++;
    of.ideal_refused += !quota_bucket_take (&of.ideal, now, &of.limit);
    quota_client_admit (&entry->client, now, (uint64_t)team + 1, &of.entry_limit,
                        &request->request);
    need_flush (entry);
  }
  static void
  on_verdict (quota_request_t *base, bool admitted, int64_t)
  {
    request_t *request = (request_t *)base;
    quota_sim_t *sim = request->entry->sim;
    team_t &team = sim->teams[(size_t)request->team];
    if (admitted)
      team.admissions.push_back (sim->now);
    else
      team.refused++;
  }
  // Runs ACTION at the entry, after it is frozen; not if it is dead.
  void
  at_entry (int64_t time, entry_t *entry, std::function<void ()> action)
  {
    at (time, [this, entry, action] {
      if (entry->frozen_until > now)
        at_entry (entry->frozen_until, entry, action);
      else if (!entry->dead)
        action ();
    });
  }
  void
  at_control (int64_t time, control_t *control, std::function<void ()> action)
  {
    at (time, [this, control, action] {
      if (control->frozen_until > now)
        at_control (control->frozen_until, control, action);
      else if (!control->dead)
        action ();
    });
  }
  // The main loop runs once per millisecond at most.
  void
  need_flush (entry_t *entry)
  {
    if (entry->flush_pending || !quota_client_needs_flush (&entry->client, now))
      return;
    entry->flush_pending = true;
    at_entry (now + MS, entry, [this, entry] {
      entry->flush_pending = false;
      quota_client_flush (&entry->client, now);
    });
  }
  void
  tick (entry_t *entry)
  {
    quota_client_tick (&entry->client, now);
    need_flush (entry);
    at_entry (now + 10 * MS, entry, [this, entry] { tick (entry); });
  }
  void
  report (entry_t *entry)
  {
    for (int i = 0; i < CONTROLS; i++)
      if (!cut (entry->index, i))
        controls[i].last_report[(size_t)entry->index] = now;
    at_entry (now + S, entry, [this, entry] { report (entry); });
  }
  void
  count_entries ()
  {
    for (control_t &control : controls)
      {
        uint32_t count = 0, silent = 0;
        for (int64_t last : control.last_report)
          {
            count += last >= 0;
            silent += last >= 0 && now - last >= QUOTA_SILENCE_US;
          }
        if (now >= 2500 * MS)
          quota_owner_set_entries (&control.owner, count, silent);
      }
  }
  static bool
  find_limit (void *data, uint64_t team_id, quota_limit_t *limit)
  {
    *limit = ((quota_sim_t *)data)->teams[team_id - 1].limit;
    return true;
  }
  // One-way delay of a link, constant so that messages keep their order.
  static int64_t
  delay (int entry, int control)
  {
    return entry % DOMAINS == control % DOMAINS ? 200
                                                : 1000 + (entry * 7919 + control * 104729) % 4400;
  }
  static void
  send_ask (void *data, const char *address, const quota_ask_t *ask)
  {
    entry_t *entry = (entry_t *)data;
    quota_sim_t *sim = entry->sim;
    int index = address[1] - '0';
    control_t *control = &sim->controls[index];
    uint64_t number = ask->number;
    std::vector<quota_ask_team_t> copy ((quota_ask_team_t *)ask->teams->data,
                                        (quota_ask_team_t *)ask->teams->data + ask->teams->len);
    if (sim->cut (entry->index, index))
      return;
    sim->at_control (
        sim->now + delay (entry->index, index), control,
        [sim, entry, control, number, copy] { sim->answer (entry, control, number, copy); });
  }
  void
  answer (entry_t *entry, control_t *control, uint64_t number,
          const std::vector<quota_ask_team_t> &teams_asked)
  {
    int index = (int)(control - controls);
    int64_t arrival = now + delay (entry->index, index);
    if (cut (entry->index, index))
      return;
    if (!control->is_owner)
      {
        quota_moved_t moved = { number, control->owner.entry_count, "" };
        if (control->leader >= 0)
          g_strlcpy (moved.owner, address_of (control->leader), sizeof (moved.owner));
        at_entry (arrival, entry, [this, entry, index, moved] {
          quota_client_receive_moved (&entry->client, now, address_of (index), &moved);
          need_flush (entry);
        });
        return;
      }
    g_autoptr (GArray) asked = g_array_new (FALSE, FALSE, sizeof (quota_ask_team_t));
    std::shared_ptr<GArray> granted (g_array_new (FALSE, FALSE, sizeof (quota_grant_team_t)),
                                     g_array_unref);
    g_array_append_vals (asked, teams_asked.data (), (guint)teams_asked.size ());
    quota_ask_t ask = { number, asked };
    quota_grant_t grant = { 0, 0, granted.get () };
    control->last_report[(size_t)entry->index] = now;
    quota_owner_answer (&control->owner, now, &ask, &grant);
    at_entry (arrival, entry, [this, entry, index, grant, granted] {
      quota_client_receive_grant (&entry->client, now, address_of (index), &grant);
      need_flush (entry);
    });
  }
};
