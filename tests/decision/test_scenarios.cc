/* Runs the scenario files that are given as arguments. Each line of a file is an event or, if it
 * starts with "->", a decision that is expected after the event above it. See
 * tests/decision/scenarios/README.md. */

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

const std::map<std::string, health_result_t> RESULTS = {
  { "ok", HEALTH_OK },
  { "wrong", HEALTH_WRONG_ANSWER },
  { "error", HEALTH_ERROR },
  { "connect-failed", HEALTH_CONNECT_FAILED },
  { "stalled", HEALTH_STALLED },
  { "shed", HEALTH_SHED },
  { "silent", HEALTH_SILENT_CONNECTION },
  { "abandoned", HEALTH_ABANDONED },
};

const char *const REASON_NAMES[]
    = { "", "deadline", "overload", "queue-full", "no-target", "duplicate" };

struct Line
{
  std::string event_name;
  std::vector<std::string> arguments;
  std::map<std::string, std::string> named_values;

  double
  number (const std::string &key, double default_value) const
  {
    auto it = named_values.find (key);
    return it == named_values.end () ? default_value : std::stod (it->second);
  }
  uint64_t
  id (size_t index) const
  {
    return std::stoull (arguments.at (index));
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

  /* Advances the time to TIME_MS and returns the decisions as text. */
  std::string
  wait_until (int64_t time_ms)
  {
    advance (time_ms * MS);
    return take_output ();
  }

  /* Applies the event at the current time and returns the decisions as text. */
  std::string
  run_event (const Line &line)
  {
    apply_event (line);
    print_decisions ();
    return take_output ();
  }

private:
  struct ScheduledEvent
  {
    int64_t time_us;
    uint64_t sequence;
    std::function<void ()> callback;
    bool
    operator> (const ScheduledEvent &other) const
    {
      return time_us != other.time_us ? time_us > other.time_us : sequence > other.sequence;
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
  schedule (int64_t time_us, std::function<void ()> callback)
  {
    scheduled_events_.push ({ time_us, next_sequence_++, std::move (callback) });
  }

  std::ostream &
  begin_decision ()
  {
    return output_ << "-> " << now_us_ / MS << " ";
  }

  void
  advance (int64_t time_us)
  {
    while (!scheduled_events_.empty () && scheduled_events_.top ().time_us <= time_us)
      {
        ScheduledEvent scheduled = scheduled_events_.top ();
        scheduled_events_.pop ();
        now_us_ = scheduled.time_us;
        scheduled.callback ();
        print_decisions ();
      }
    now_us_ = time_us;
  }

  void
  tick ()
  {
    assigned_service_tick (&service_, now_us_);
    schedule (now_us_ + ASSIGNED_SERVICE_TICK_US, [this] { tick (); });
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
  apply_event (const Line &line)
  {
    const std::string &event_name = line.event_name;
    if (event_name == "service")
      {
        assigned_service_options_t settings = options (line);
        assigned_service_init (&service_, &settings);
        started_ = true;
        tick ();
      }
    else if (event_name == "configure")
      {
        assigned_service_options_t settings = options (line);
        assigned_service_configure (&service_, now_us_, &settings);
      }
    else if (event_name == "target")
      assigned_service_set_target (&service_, now_us_, line.id (0),
                                   (uint32_t)line.number ("slots", 2), line.number ("load", 0));
    else if (event_name == "leave")
      assigned_service_remove_target (&service_, now_us_, line.id (0));
    else if (event_name == "respond")
      set_behaviour (line);
    else if (event_name == "traffic")
      submit_traffic ((int64_t)(line.number ("every", 20) * MS),
                      (int64_t)(line.number ("until", 0) * MS));
    else if (event_name == "request")
      submit_request (line);
    else if (event_name == "done")
      assigned_service_done (&service_, now_us_, line.id (0), RESULTS.at (line.arguments.at (1)));
    else if (event_name == "cancel")
      cancel_request (line.id (0));
    else if (event_name == "peer")
      set_peer (line);
    else if (event_name == "opinion")
      apply_peer_probe (line);
    else if (event_name != "wait")
      throw std::runtime_error ("unknown event " + event_name);
  }

  void
  set_behaviour (const Line &line)
  {
    Behaviour &behaviour = behaviour_[line.id (0)];
    behaviour.latency_ms = line.number ("latency", 50);
    auto it = line.named_values.find ("result");
    behaviour.result = it == line.named_values.end () ? HEALTH_OK : RESULTS.at (it->second);
  }

  /* Submits an urgent request every PERIOD_US. Its attempt ends as the "respond" event of the
   * target says, and its dispatch is not printed. */
  void
  submit_traffic (int64_t period_us, int64_t until_us)
  {
    if (now_us_ >= until_us)
      return;
    uint64_t id = ++last_traffic_id_;
    scheduler_request_t request = { id, SCHEDULER_URGENT, now_us_ + 2000 * MS, false, nullptr, 0 };
    assigned_service_submit (&service_, now_us_, &request);
    schedule (now_us_ + period_us, [=] { submit_traffic (period_us, until_us); });
  }

  void
  submit_request (const Line &line)
  {
    std::vector<uint64_t> tried;
    auto it = line.named_values.find ("tried");
    std::stringstream list (it == line.named_values.end () ? "" : it->second);
    for (std::string id; std::getline (list, id, ',');)
      tried.push_back (std::stoull (id));
    bool urgent = line.arguments.at (1) == "urgent";
    scheduler_request_t request = { line.id (0),
                                    urgent ? SCHEDULER_URGENT : SCHEDULER_BACKGROUND,
                                    now_us_ + (int64_t)(line.number ("timeout", 1000) * MS),
                                    line.number ("forwarded", 0) != 0,
                                    tried.data (),
                                    tried.size () };
    scheduler_submit_result_t result = assigned_service_submit (&service_, now_us_, &request);
    if (result.decision == SCHEDULER_REFUSED)
      begin_decision () << "refuse " << request.id << " " << REASON_NAMES[result.reason]
                        << " retry-after=" << result.retry_after_s << "\n";
    if (result.decision == SCHEDULER_FORWARD)
      begin_decision () << "forward " << request.id << " to entry " << result.entry_id << "\n";
  }

  void
  cancel_request (uint64_t id)
  {
    static const char *const STATE_NAMES[] = { "was queued", "is in flight", "is unknown" };
    begin_decision () << "cancel " << id << ": "
                      << STATE_NAMES[assigned_service_cancel (&service_, id)] << "\n";
  }

  void
  set_peer (const Line &line)
  {
    service_summary_t summary = {};
    summary.entry_id = line.id (0);
    summary.summary_sent_us = now_us_;
    summary.settled_slots = summary.slots = (uint32_t)line.number ("slots", 0);
    summary.free_slots = (uint32_t)line.number ("free", 0);
    summary.wait_us[0] = summary.wait_us[1] = (int64_t)(line.number ("wait", 0) * MS);
    summary.measured_target_count = (uint32_t)line.number ("targets", 0);
    summary.median_latency_us = line.number ("median", 0) * MS;
    assigned_service_set_peer (&service_, now_us_, &summary, 5 * MS);
    if (line.number ("repeat-until", 0) * MS > (double)now_us_)
      schedule (now_us_ + 500 * MS, [=] { set_peer (line); });
  }

  void
  apply_peer_probe (const Line &line)
  {
    health_peer_probe_t peer_probe
        = { line.arguments.at (1) == "ok", (int64_t)(line.number ("latency", 25) * MS),
            (int64_t)(line.number ("reference", 25) * MS), true };
    assigned_service_peer_probe_done (&service_, now_us_, line.id (0), &peer_probe);
  }

  void
  print_decisions ()
  {
    scheduler_next_result_t dispatch;
    service_action_t action;
    while (started_ && assigned_service_next (&service_, now_us_, &dispatch))
      print_dispatch (dispatch);
    while (started_ && assigned_service_next_action (&service_, &action))
      print_action (action);
  }

  void
  print_dispatch (const scheduler_next_result_t &dispatch)
  {
    uint64_t id = dispatch.request_id;
    if (id > TRAFFIC_ID_BASE && !dispatch.refused)
      {
        Behaviour behaviour = behaviour_[dispatch.target_id];
        schedule (now_us_ + (int64_t)(behaviour.latency_ms * MS),
                  [=] { assigned_service_done (&service_, now_us_, id, behaviour.result); });
      }
    else if (dispatch.refused)
      begin_decision () << "refuse " << id << " " << REASON_NAMES[dispatch.reason]
                        << " retry-after=" << dispatch.retry_after_s << "\n";
    else
      begin_decision () << "dispatch " << id << " to target " << dispatch.target_id << "\n";
  }

  void
  print_action (const service_action_t &action)
  {
    uint64_t id = action.target_id;
    Behaviour behaviour = behaviour_[id];
    switch (action.kind)
      {
      case SERVICE_ACTION_PROBE:
        schedule (now_us_ + (int64_t)(behaviour.latency_ms / 2 * MS),
                  [=] { assigned_service_probe_done (&service_, now_us_, id, behaviour.result); });
        break;
      case SERVICE_ACTION_REQUEST_PEER_PROBE:
        begin_decision () << "ask another entry to probe target " << id << "\n";
        break;
      case SERVICE_ACTION_EJECTED:
        begin_decision () << "eject target " << id << "\n";
        break;
      case SERVICE_ACTION_READMITTED:
        begin_decision () << "readmit target " << id << "\n";
        break;
      }
  }

  static constexpr uint64_t TRAFFIC_ID_BASE = 1000000;

  assigned_service_t service_;
  bool started_ = false;
  int64_t now_us_ = 0;
  uint64_t next_sequence_ = 0;
  uint64_t last_traffic_id_ = TRAFFIC_ID_BASE;
  std::map<uint64_t, Behaviour> behaviour_;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<ScheduledEvent> >
      scheduled_events_;
  std::ostringstream output_;
};

Line
parse_line (std::istringstream &input)
{
  Line line;
  input >> line.event_name;
  for (std::string word; input >> word;)
    {
      size_t equals = word.find ('=');
      if (equals == std::string::npos)
        line.arguments.push_back (word);
      else
        line.named_values[word.substr (0, equals)] = word.substr (equals + 1);
    }
  return line;
}

/* Returns the text of the scenario with the actual decisions in place of the expected ones. */
std::string
run_scenario (const std::string &path)
{
  std::ifstream file (path);
  std::string actual;
  Runner runner;
  for (std::string text; std::getline (file, text);)
    {
      if (text.rfind ("->", 0) == 0)
        continue;
      if (text.empty () || text[0] == '#')
        {
          actual += text + "\n";
          continue;
        }
      std::istringstream input (text);
      int64_t time_ms;
      input >> time_ms;
      actual += runner.wait_until (time_ms) + text + "\n";
      actual += runner.run_event (parse_line (input));
    }
  return actual;
}

} // namespace

int
main (int argc, char **argv)
{
  int failed_count = 0;
  for (int i = 1; i < argc; i++)
    {
      std::ifstream file (argv[i]);
      std::stringstream expected;
      expected << file.rdbuf ();
      std::string actual = run_scenario (argv[i]);
      if (expected.str ().empty () || actual != expected.str ())
        {
          failed_count++;
          std::cout << "FAILED " << argv[i] << ", actual decisions:\n" << actual;
        }
    }
  std::cout << argc - 1 - failed_count << " scenarios passed, " << failed_count << " failed\n";
  return failed_count > 0 || argc == 1;
}
