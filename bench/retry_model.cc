// Retries in virtual time. Usage: retry_model
//
// capacity: a service with 100 slots of 100 ms (1,000 requests/s) is offered 400, 700 or 850
// requests/s and has 50 slots from 20 s to 30 s. Its queue holds 2,000 requests; it does not know
// that a caller gave up after 1 s and runs such requests too. Each request has a deadline of 3 s
// and up to 3 retries.
//
// With reset=1 half of the backend servers end when the loss begins: all requests in the queue and
// half of those running fail at the same moment.
//
// clock: a server refuses requests for 5 s. Its Retry-After holds the end of that time as an HTTP
// date, by a clock that is wrong.
//
// Fixed seeds; the counts are the same on every machine.

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <ctime>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <vector>

extern "C"
{
#include "deadline.h"
#include "retry_budget.h"
#include "rng.h"
}

static const int64_t MS = 1000;
static const int64_t SECOND = 1000000;
static const int64_t LOSS_START_US = 20 * SECOND;
static const int64_t LOSS_END_US = 30 * SECOND;
static const int64_t END_US = 90 * SECOND;
static const unsigned MAX_RETRIES = 3;

struct policy_t
{
  const char *name;
  unsigned retries;
  bool jitter;
  bool budget;
};

struct request_t
{
  int64_t deadline_us;
  unsigned attempt = 0;
  bool done = false;
};

struct event_t
{
  int64_t at_us;
  uint64_t order;
  enum
  {
    ARRIVE,
    ATTEMPT,
    FINISH,
    TIMEOUT,
    RESET
  } type;
  size_t request;
  unsigned attempt;
  bool
  operator<(const event_t &other) const
  {
    return at_us != other.at_us ? at_us > other.at_us : order > other.order;
  }
};

struct result_t
{
  double goodput_in_loss; // requests/s
  double goodput_after;   // requests/s in the 30 s after the loss
  double recovery_s;
  int never_recovered;
  double attempts; // per request
  double wasted_percent;
  int peak; // attempts in 10 ms
};

class CapacityModel
{
public:
  CapacityModel (const policy_t &policy, double offered, bool reset, uint64_t seed)
      : policy_ (policy), offered_ (offered), reset_ (reset)
  {
    retry_budget_options_t options = { 0.1, 1 };
    rng_init (&rng_, seed);
    retry_budget_init (&budget_, &options);
  }

  void
  run ()
  {
    push (0, event_t::ARRIVE, 0, 0);
    if (reset_)
      push (LOSS_START_US, event_t::RESET, 0, 0);
    while (!queue_.empty () && queue_.top ().at_us < END_US)
      {
        event_t event = queue_.top ();
        queue_.pop ();
        now_us_ = event.at_us;
        handle (event);
      }
  }

private:
  void
  push (int64_t at_us, decltype (event_t::type) type, size_t request, unsigned attempt)
  {
    queue_.push ({ at_us, order_++, type, request, attempt });
  }

  size_t
  slots () const
  {
    return now_us_ >= LOSS_START_US && now_us_ < LOSS_END_US ? 50 : 100;
  }

  void
  handle (const event_t &event)
  {
    if (event.type == event_t::ARRIVE)
      {
        requests_.push_back ({ now_us_ + 3 * SECOND });
        retry_budget_record_first_attempt (&budget_, now_us_);
        attempt (requests_.size () - 1);
        push (now_us_ + (int64_t)rng_exponential (&rng_, 1e6 / offered_), event_t::ARRIVE, 0, 0);
      }
    else if (event.type == event_t::ATTEMPT)
      attempt (event.request);
    else if (event.type == event_t::FINISH)
      finish (event);
    else if (event.type == event_t::RESET)
      reset ();
    else if (!requests_[event.request].done && requests_[event.request].attempt == event.attempt)
      handle_failure (event.request);
  }

  void
  reset ()
  {
    std::deque<std::pair<size_t, unsigned> > lost;
    lost.swap (waiting_);
    size_t half = in_service_.size () / 2;
    for (size_t i = 0; i < half; i++)
      {
        lost.push_back (in_service_.front ());
        in_service_.pop_front ();
        running_--;
        ended_by_reset_++;
      }
    for (auto &[id, attempt] : lost)
      if (!requests_[id].done && requests_[id].attempt == attempt)
        handle_failure (id);
  }

  void
  attempt (size_t id)
  {
    request_t &request = requests_[id];
    attempts_++;
    attempts_per_10ms_[now_us_ / (10 * MS)]++;
    if (waiting_.size () >= 2000)
      {
        handle_failure (id);
        return;
      }
    waiting_.push_back ({ id, request.attempt });
    push (now_us_ + SECOND, event_t::TIMEOUT, id, request.attempt);
    start_queued ();
  }

  void
  start_queued ()
  {
    while (running_ < slots () && !waiting_.empty ())
      {
        auto [id, attempt] = waiting_.front ();
        waiting_.pop_front ();
        running_++;
        in_service_.push_back ({ id, attempt });
        push (now_us_ + 100 * MS, event_t::FINISH, id, attempt);
      }
  }

  void
  finish (const event_t &event)
  {
    // Every attempt takes the same time, so FINISH events come in the order of in_service_.
    // Those of the attempts that a reset has ended come first and are skipped.
    if (ended_by_reset_ > 0)
      {
        ended_by_reset_--;
        return;
      }
    in_service_.pop_front ();
    running_--;
    request_t &request = requests_[event.request];
    if (!request.done && request.attempt == event.attempt)
      {
        request.done = true;
        successes_by_second_[now_us_ / SECOND]++;
      }
    else
      wasted_++;
    start_queued ();
  }

  void
  handle_failure (size_t id)
  {
    request_t &request = requests_[id];
    int64_t base_us = 100 * MS;
    int64_t wait_us = policy_.jitter
                          ? retry_budget_delay_us (&rng_, request.attempt, base_us, 2 * SECOND)
                          : base_us << request.attempt;
    request.attempt++;
    if (request.attempt > policy_.retries
        || !deadline_allows (request.deadline_us, now_us_, wait_us, 100 * MS))
      return;
    if (policy_.budget && !retry_budget_take (&budget_, now_us_))
      return;
    push (now_us_ + wait_us, event_t::ATTEMPT, id, 0);
  }

  double
  mean_goodput (int64_t from_s, int64_t to_s)
  {
    double sum = 0;
    for (int64_t s = from_s; s < to_s; s++)
      sum += successes_by_second_[s];
    return sum / (double)(to_s - from_s);
  }

  // Returns the seconds after the loss from which on each window of 5 s has a mean goodput of at
  // least 90% of the offered load.
  int64_t
  recovery_s ()
  {
    int64_t second = END_US / SECOND - 5;
    while (second > LOSS_END_US / SECOND && mean_goodput (second - 1, second + 4) >= 0.9 * offered_)
      second--;
    return second - LOSS_END_US / SECOND;
  }

  // Returns the most attempts in 10 ms of the first second of the loss.
  int
  max_attempts_in_10ms ()
  {
    int peak = 0;
    for (int64_t bin = LOSS_START_US / (10 * MS) + 1; bin < (LOSS_START_US + SECOND) / (10 * MS);
         bin++)
      peak = std::max (peak, attempts_per_10ms_[bin]);
    return peak;
  }

public:
  result_t
  result ()
  {
    result_t result;
    result.goodput_in_loss = mean_goodput (20, 30);
    result.goodput_after = mean_goodput (30, 60);
    result.recovery_s = (double)recovery_s ();
    result.never_recovered = recovery_s () >= END_US / SECOND - 5 - LOSS_END_US / SECOND;
    result.attempts = (double)attempts_ / (double)requests_.size ();
    result.wasted_percent = 100.0 * (double)wasted_ / (double)attempts_;
    result.peak = max_attempts_in_10ms ();
    return result;
  }

private:
  policy_t policy_;
  double offered_;
  bool reset_;
  rng_t rng_;
  retry_budget_t budget_;
  int64_t now_us_ = 0;
  uint64_t order_ = 0;
  std::priority_queue<event_t> queue_;
  std::vector<request_t> requests_;
  std::deque<std::pair<size_t, unsigned> > waiting_;
  std::deque<std::pair<size_t, unsigned> > in_service_;
  size_t running_ = 0;
  size_t ended_by_reset_ = 0;
  uint64_t attempts_ = 0;
  uint64_t wasted_ = 0;
  std::map<int64_t, int> successes_by_second_;
  std::map<int64_t, int> attempts_per_10ms_;
};

static std::string
http_date (int64_t seconds)
{
  char text[64];
  time_t time = (time_t)seconds;
  struct tm parts;
  gmtime_r (&time, &parts);
  strftime (text, sizeof (text), "%a, %d %b %Y %H:%M:%S GMT", &parts);
  return text;
}

// 1,000 clients are refused for 5 s and send again after Retry-After. USE_DATE: the wait counts
// from the Date header; JITTER: a full jitter of up to 1 s is added to the wait.
static void
clock_model (int64_t skew_s, bool use_date, bool jitter)
{
  const int64_t base_s = 1800000000;
  rng_t rng;
  rng_init (&rng, 1);
  std::multimap<int64_t, int> attempts;
  std::map<int64_t, int> attempts_per_100ms;
  int refused = 0;
  double late_s = 0;
  for (int i = 0; i < 1000; i++)
    attempts.insert ({ (int64_t)rng_uniform_int (&rng, 5 * SECOND), i });
  while (!attempts.empty ())
    {
      int64_t now_us = attempts.begin ()->first;
      attempts.erase (attempts.begin ());
      if (now_us >= 5 * SECOND)
        {
          late_s += (double)(now_us - 5 * SECOND) / 1e6;
          attempts_per_100ms[now_us / (100 * MS)]++;
          continue;
        }
      refused++;
      int64_t server_s = base_s + skew_s + now_us / SECOND;
      std::string retry_after = http_date (base_s + skew_s + 5);
      std::string date = http_date (server_s);
      int64_t wall_ms = base_s * 1000 + now_us / MS;
      int64_t wait_us = deadline_retry_after_us (retry_after.c_str (),
                                                 use_date ? date.c_str () : nullptr, wall_ms);
      // With a wait of 0 the loop would not end; a client sends again after 100 ms at the earliest.
      wait_us = std::max (wait_us, 100 * MS);
      if (jitter)
        wait_us += retry_budget_delay_us (&rng, 0, SECOND, SECOND);
      attempts.insert ({ now_us + wait_us, 0 });
    }
  int peak = 0;
  for (auto &[bin, count] : attempts_per_100ms)
    peak = std::max (peak, count);
  printf ("clock skew=%+" PRId64 "s from_date=%d jitter=%d refused_attempts_per_client=%.2f "
          "mean_s_after_reopening=%.2f peak_100ms=%d\n",
          skew_s, use_date, jitter, refused / 1000.0, late_s / 1000, peak);
}

static const int SEEDS = 20;

static void
capacity_model (const policy_t &policy, double offered, bool reset)
{
  result_t sum = {};
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      CapacityModel model (policy, offered, reset, seed);
      model.run ();
      result_t result = model.result ();
      sum.goodput_in_loss += result.goodput_in_loss / SEEDS;
      sum.goodput_after += result.goodput_after / SEEDS;
      sum.recovery_s += result.recovery_s / SEEDS;
      sum.never_recovered += result.never_recovered;
      sum.attempts += result.attempts / SEEDS;
      sum.wasted_percent += result.wasted_percent / SEEDS;
      sum.peak = std::max (sum.peak, result.peak);
    }
  printf ("capacity policy=%s reset=%d offered=%.0f seeds=%d in_loss=%.0f after_30s=%.0f "
          "never_recovered=%d recovery_s=%.1f attempts/request=%.2f wasted=%.0f%% peak_10ms=%d\n",
          policy.name, reset, offered, SEEDS, sum.goodput_in_loss, sum.goodput_after,
          sum.never_recovered, sum.recovery_s, sum.attempts, sum.wasted_percent, sum.peak);
}

int
main ()
{
  const policy_t policies[] = {
    { "no-retry", 0, false, false },
    { "fixed", MAX_RETRIES, false, false },
    { "jitter", MAX_RETRIES, true, false },
    { "fixed+budget", MAX_RETRIES, false, true },
    { "jitter+budget", MAX_RETRIES, true, true },
  };
  for (bool reset : { false, true })
    for (double offered : { 400.0, 700.0, 850.0 })
      for (const policy_t &policy : policies)
        capacity_model (policy, offered, reset);
  for (int64_t skew_s : { -40, 0, 40 })
    for (int mode = 0; mode < 4; mode++)
      clock_model (skew_s, mode % 2 != 0, mode / 2 != 0);
  return 0;
}
