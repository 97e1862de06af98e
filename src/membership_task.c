#include "membership_task.h"

#define LOG_MODULE "membership"
#include "log.h"

static const char *const event_names[] = {
  [SWIM_EVENT_JOINED] = "joined",       [SWIM_EVENT_UPDATED] = "updated",
  [SWIM_EVENT_SUSPECTED] = "suspected", [SWIM_EVENT_DEAD] = "dead",
  [SWIM_EVENT_REMOVED] = "removed",
};

static void
send_message (swim_io_t *io, const char *address, const swim_message_t *message)
{
  membership_task_t *membership = CONTAINER_OF (io, membership_task_t, io);
  wire_writer_t writer;
  swim_wire_encode (message, &writer);
  peer_network_send_writer (membership->options.network, address, &writer);
}

static void
on_member (swim_io_t *io, swim_event_t event, const swim_member_t *member)
{
  membership_task_t *membership = CONTAINER_OF (io, membership_task_t, io);
  if (event != SWIM_EVENT_UPDATED)
    LOG_INFO ("member id=%s event=%s domain=%s incarnation=%" G_GUINT64_FORMAT, member->id,
              event_names[event], member->domain, member->incarnation);
  if (event == SWIM_EVENT_SUSPECTED)
    metric_inc (&membership->suspicions);
  if (event == SWIM_EVENT_DEAD)
    metric_inc (&membership->deaths);
  metric_set (&membership->live_members, (int64_t)swim_live_count (&membership->swim));
  if (membership->options.on_member != NULL)
    membership->options.on_member (membership->options.data, event, member);
}

static void
on_version (swim_io_t *io, const swim_member_t *member, uint64_t version, uint64_t digest)
{
  membership_task_t *membership = CONTAINER_OF (io, membership_task_t, io);
  if (membership->options.on_version != NULL)
    membership->options.on_version (membership->options.data, member, version, digest);
}

static void
on_timer (io_timer_t *timer)
{
  membership_task_t *membership = CONTAINER_OF (timer, membership_task_t, timer);
  int64_t now_us = io_loop_now_us (membership->options.loop);
  swim_tick (&membership->swim, now_us);
  io_timer_set (membership->options.loop, timer, now_us + SWIM_TICK_US);
}

static bool
start (task_t *task, anv_error_t *err)
{
  membership_task_t *membership = (membership_task_t *)task;
  const membership_options_t *options = &membership->options;
  int64_t now_us = io_loop_now_us (options->loop);
  swim_options_t swim_options;

  swim_options_init (&swim_options);
  swim_options.id = options->id;
  swim_options.peer_address = peer_network_get_address (options->network);
  swim_options.caller_address = options->caller_address;
  swim_options.domain = options->domain;
  swim_options.incarnation = (uint64_t)(g_get_real_time () / 1000);
  swim_options.seeds = (const char *const *)options->seeds->pdata;
  swim_options.seed_count = options->seeds->len;
  swim_options.random_seed = (uint64_t)now_us ^ g_str_hash (options->id);
  swim_init (&membership->swim, &swim_options, &membership->io, now_us);
  membership->started = true;
  if (membership->version > 0)
    swim_set_version (&membership->swim, now_us, membership->version, membership->digest);
  io_timer_set (options->loop, &membership->timer, now_us);
  return true;
}

static void
receive (task_t *task, const message_t *message)
{
}

static void
stop (task_t *task)
{
  membership_task_t *membership = (membership_task_t *)task;
  if (!membership->started)
    return;
  membership->started = false;
  io_timer_cancel (&membership->timer);
  swim_stop (&membership->swim, io_loop_now_us (membership->options.loop));
  swim_destroy (&membership->swim);
}

static const task_ops_t membership_ops = {
  .name = "membership",
  .start = start,
  .receive = receive,
  .stop = stop,
};

void
membership_task_init (membership_task_t *membership, const membership_options_t *options,
                      GMainContext *context)
{
  *membership = (membership_task_t){ .options = *options };
  membership->io.send = send_message;
  membership->io.on_member = on_member;
  membership->io.on_version = on_version;
  io_timer_init (&membership->timer, on_timer);
  task_init (&membership->task, &membership_ops, context);
  metric_register (options->counters, &membership->live_members, METRIC_KIND_GAUGE,
                   "anvillb_members_live", NULL, "Members that are not dead.");
  metric_register (options->counters, &membership->suspicions, METRIC_KIND_COUNTER,
                   "anvillb_member_suspicions_total", NULL, "Members that became suspect.");
  metric_register (options->counters, &membership->deaths, METRIC_KIND_COUNTER,
                   "anvillb_member_deaths_total", NULL, "Members declared dead or left.");
}

void
membership_task_destroy (membership_task_t *membership)
{
  task_destroy (&membership->task);
}

bool
membership_task_receive (membership_task_t *membership, const link_t *link, wire_type_t type,
                         wire_reader_t *reader)
{
  swim_message_t message;
  anv_error_t err = { 0 };
  if (type < WIRE_SWIM_PING || type >= WIRE_CONFIG_FETCH)
    return false;
  if (!membership->started)
    return true;
  if (swim_wire_decode (reader, type, &message, &err))
    swim_receive (&membership->swim, io_loop_now_us (membership->options.loop), link->peer.address,
                  &message);
  else
    LOG_WARNING ("malformed message peer=%s error=\"%s\"", link->peer.id, err.text);
  swim_wire_clear (&message);
  return true;
}

void
membership_task_set_version (membership_task_t *membership, uint64_t version, uint64_t digest)
{
  membership->version = version;
  membership->digest = digest;
  if (membership->started)
    swim_set_version (&membership->swim, io_loop_now_us (membership->options.loop), version,
                      digest);
}

void
membership_task_set_leaving (membership_task_t *membership)
{
  if (membership->started)
    swim_set_leaving (&membership->swim, io_loop_now_us (membership->options.loop));
}
