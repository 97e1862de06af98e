/* Runs scripted scenarios: one event per line in, decisions out. A scenario file holds both; lines
 * that start with "->" are the expected decisions. See tests/decision/scenarios/README.md. */

#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <sstream>
#include <vector>

extern "C"
{
#include "assigned_service.h"
}

namespace
{

constexpr int64_t MS = 1000;

const std::map<std::string, health_result_t> results = {
  { "ok", HEALTH_OK },
  { "wrong", HEALTH_WRONG_ANSWER },
  { "error", HEALTH_ERROR },
  { "connect-failed", HEALTH_CONNECT_FAILED },
  { "stalled", HEALTH_STALLED },
  { "shed", HEALTH_SHED },
  { "silent", HEALTH_SILENT_CONNECTION },
  { "abandoned", HEALTH_ABANDONED },
};

const char *const reasons[]
    = { "", "deadline", "overload", "queue-full", "no-target", "duplicate" };

struct Line
{
  std::string verb;
  std::vector<std::string> words;
  std::map<std::string, std::string> values;

  double
  number (const std::string &key, double otherwise) const
  {
    auto it = values.find (key);
    return it == values.end () ? otherwise : std::stod (it->second);
  }
  uint64_t
  id (size_t index) const
  {
    return std::stoull (words.at (index));
  }
};

struct Behaviour
{
  double latency_ms = 50;
  health_result_t result = HEALTH_OK;
};

class Runner
{
public:
  ~Runner ()
  {
    if (started_)
      assigned_service_destroy (&service_);
  }

  /* Lets time pass until TIME_MS and returns the decisions as text. */
  std::string
  wait_until (int64_t time_ms)
  {
    advance (time_ms * MS);
    return take_output ();
  }

  /* Runs the event now and returns the decisions as text. */
  std::string
  event (const Line &line)
  {
    handle (line);
    drain ();
    return take_output ();
  }

private:
  struct Later
  {
    int64_t time_us;
    uint64_t order;
    std::function<void ()> run;
    bool
    operator> (const Later &other) const
    {
      return time_us != other.time_us ? time_us > other.time_us : order > other.order;
    }
  };

  std::string
  take_output ()
  {
    std::string text = output_.str ();
    output_.str ("");
    return text;
  }

  void
  at (int64_t time_us, std::function<void ()> run)
  {
    later_.push ({ time_us, order_++, std::move (run) });
  }

  std::ostream &
  decide ()
  {
    return output_ << "-> " << now_ / MS << " ";
  }

  void
  advance (int64_t time_us)
  {
    while (!later_.empty () && later_.top ().time_us <= time_us)
      {
        Later next = later_.top ();
        later_.pop ();
        now_ = next.time_us;
        next.run ();
        drain ();
      }
    now_ = time_us;
  }

  void
  tick ()
  {
    assigned_service_tick (&service_, now_);
    at (now_ + ASSIGNED_SERVICE_TICK_US, [this] { tick (); });
  }

  assigned_service_options_t
  options (const Line &line)
  {
    assigned_service_options_t options = {};
    options.seed = 1;
    options.floor_slots = (uint32_t)line.number ("floor", 1);
    options.sensitivity = line.number ("sensitivity", 0.8);
    options.slow_start_us = (int64_t)(line.number ("slow-start", 10000) * MS);
    return options;
  }

  void
  handle (const Line &line)
  {
    const std::string &verb = line.verb;
    if (verb == "service")
      {
        assigned_service_options_t settings = options (line);
        assigned_service_init (&service_, &settings);
        started_ = true;
        tick ();
      }
    else if (verb == "configure")
      {
        assigned_service_options_t settings = options (line);
        assigned_service_configure (&service_, now_, &settings);
      }
    else if (verb == "target")
      assigned_service_set_target (&service_, now_, line.id (0), (uint32_t)line.number ("slots", 2),
                                   line.number ("load", 0));
    else if (verb == "leave")
      assigned_service_remove_target (&service_, now_, line.id (0));
    else if (verb == "respond")
      respond (line);
    else if (verb == "traffic")
      traffic ((int64_t)(line.number ("every", 20) * MS), (int64_t)(line.number ("until", 0) * MS));
    else if (verb == "request")
      request (line);
    else if (verb == "done")
      assigned_service_done (&service_, now_, line.id (0), results.at (line.words.at (1)));
    else if (verb == "cancel")
      cancel (line.id (0));
    else if (verb == "peer")
      peer (line);
    else if (verb == "opinion")
      opinion (line);
    else if (verb != "wait")
      throw std::runtime_error ("unknown event " + verb);
  }

  void
  respond (const Line &line)
  {
    Behaviour &behaviour = behaviour_[line.id (0)];
    behaviour.latency_ms = line.number ("latency", 50);
    auto it = line.values.find ("result");
    behaviour.result = it == line.values.end () ? HEALTH_OK : results.at (it->second);
  }

  /* Requests that answer by themselves, as "respond" says; their dispatches are not printed. */
  void
  traffic (int64_t period_us, int64_t until_us)
  {
    if (now_ >= until_us)
      return;
    uint64_t id = ++last_silent_id_;
    scheduler_request_t request = { id, SCHEDULER_URGENT, now_ + 2000 * MS, false, nullptr, 0 };
    assigned_service_submit (&service_, now_, &request);
    at (now_ + period_us, [=] { traffic (period_us, until_us); });
  }

  void
  request (const Line &line)
  {
    std::vector<uint64_t> tried;
    auto it = line.values.find ("tried");
    std::stringstream list (it == line.values.end () ? "" : it->second);
    for (std::string id; std::getline (list, id, ',');)
      tried.push_back (std::stoull (id));
    bool urgent = line.words.at (1) == "urgent";
    scheduler_request_t request = { line.id (0),
                                    urgent ? SCHEDULER_URGENT : SCHEDULER_BACKGROUND,
                                    now_ + (int64_t)(line.number ("timeout", 1000) * MS),
                                    line.number ("forwarded", 0) != 0,
                                    tried.data (),
                                    tried.size () };
    scheduler_result_t result = assigned_service_submit (&service_, now_, &request);
    if (result.decision == SCHEDULER_REFUSED)
      decide () << "refuse " << request.id << " " << reasons[result.reason]
                << " retry-after=" << result.retry_after_s << "\n";
    if (result.decision == SCHEDULER_FORWARD)
      decide () << "forward " << request.id << " to entry " << result.entry_id << "\n";
  }

  void
  cancel (uint64_t id)
  {
    static const char *const texts[] = { "was queued", "is in flight", "is unknown" };
    decide () << "cancel " << id << ": " << texts[assigned_service_cancel (&service_, id)] << "\n";
  }

  void
  peer (const Line &line)
  {
    service_summary_t summary = {};
    summary.entry_id = line.id (0);
    summary.summary_sent_us = now_;
    summary.settled_slots = summary.slots = (uint32_t)line.number ("slots", 0);
    summary.free_slots = (uint32_t)line.number ("free", 0);
    summary.wait_us[0] = summary.wait_us[1] = (int64_t)(line.number ("wait", 0) * MS);
    summary.measured_target_count = (uint32_t)line.number ("targets", 0);
    summary.median_latency_us = line.number ("median", 0) * MS;
    assigned_service_set_peer (&service_, now_, &summary, 5 * MS);
    if (line.number ("repeat-until", 0) * MS > (double)now_)
      at (now_ + 500 * MS, [=] { peer (line); });
  }

  void
  opinion (const Line &line)
  {
    health_peer_probe_t opinion
        = { line.words.at (1) == "ok", (int64_t)(line.number ("latency", 25) * MS),
            (int64_t)(line.number ("reference", 25) * MS), true };
    assigned_service_peer_probe_done (&service_, now_, line.id (0), &opinion);
  }

  void
  drain ()
  {
    scheduler_dispatch_t dispatch;
    service_action_t action;
    while (started_ && assigned_service_next (&service_, now_, &dispatch))
      print_dispatch (dispatch);
    while (started_ && assigned_service_next_action (&service_, &action))
      print_action (action);
  }

  void
  print_dispatch (const scheduler_dispatch_t &dispatch)
  {
    uint64_t id = dispatch.request_id;
    if (id > FIRST_SILENT_ID && !dispatch.refused)
      {
        Behaviour behaviour = behaviour_[dispatch.target_id];
        at (now_ + (int64_t)(behaviour.latency_ms * MS),
            [=] { assigned_service_done (&service_, now_, id, behaviour.result); });
      }
    else if (dispatch.refused)
      decide () << "refuse " << id << " " << reasons[dispatch.reason]
                << " retry-after=" << dispatch.retry_after_s << "\n";
    else
      decide () << "dispatch " << id << " to target " << dispatch.target_id << "\n";
  }

  void
  print_action (const service_action_t &action)
  {
    uint64_t id = action.target_id;
    Behaviour behaviour = behaviour_[id];
    switch (action.kind)
      {
      case SERVICE_ACTION_PROBE:
        at (now_ + (int64_t)(behaviour.latency_ms / 2 * MS),
            [=] { assigned_service_probe_done (&service_, now_, id, behaviour.result); });
        break;
      case SERVICE_ACTION_REQUEST_PEER_PROBE:
        decide () << "ask another entry to probe target " << id << "\n";
        break;
      case SERVICE_ACTION_EJECTED:
        decide () << "eject target " << id << "\n";
        break;
      case SERVICE_ACTION_READMITTED:
        decide () << "readmit target " << id << "\n";
        break;
      }
  }

  static constexpr uint64_t FIRST_SILENT_ID = 1000000;

  assigned_service_t service_;
  bool started_ = false;
  int64_t now_ = 0;
  uint64_t order_ = 0;
  uint64_t last_silent_id_ = FIRST_SILENT_ID;
  std::map<uint64_t, Behaviour> behaviour_;
  std::priority_queue<Later, std::vector<Later>, std::greater<Later> > later_;
  std::ostringstream output_;
};

Line
parse (std::istringstream &input)
{
  Line line;
  input >> line.verb;
  for (std::string word; input >> word;)
    {
      size_t equals = word.find ('=');
      if (equals == std::string::npos)
        line.words.push_back (word);
      else
        line.values[word.substr (0, equals)] = word.substr (equals + 1);
    }
  return line;
}

/* Returns the scenario with the decisions that are made now. */
std::string
play (const std::string &path)
{
  std::ifstream file (path);
  std::string played;
  Runner runner;
  for (std::string text; std::getline (file, text);)
    {
      if (text.rfind ("->", 0) == 0)
        continue;
      if (text.empty () || text[0] == '#')
        {
          played += text + "\n";
          continue;
        }
      std::istringstream input (text);
      int64_t time_ms;
      input >> time_ms;
      played += runner.wait_until (time_ms) + text + "\n";
      played += runner.event (parse (input));
    }
  return played;
}

} // namespace

int
main (int argc, char **argv)
{
  int failed = 0;
  for (int i = 1; i < argc; i++)
    {
      std::ifstream file (argv[i]);
      std::stringstream expected;
      expected << file.rdbuf ();
      std::string played = play (argv[i]);
      if (expected.str ().empty () || played != expected.str ())
        {
          failed++;
          std::cout << "FAILED " << argv[i] << ", decisions now:\n" << played;
        }
    }
  std::cout << argc - 1 - failed << " scenarios passed, " << failed << " failed\n";
  return failed > 0 || argc == 1;
}
