#include "upstream_pool.h"

#include "option.h"

static GSocketAddress *
parse_address (const char *address)
{
  char host[64];
  uint16_t port = 0;
  if (!option_parse_address (address, host, sizeof (host), &port))
    return NULL;
  return g_inet_socket_address_new_from_string (host, port);
}

static void
free_target (gpointer data)
{
  upstream_target_t *target = data;
  g_clear_object (&target->socket_address);
  g_free (target->address);
  g_free (target);
}

static upstream_target_t *
get_or_add_target (upstream_pool_t *pool, const char *address)
{
  upstream_target_t *target = g_hash_table_lookup (pool->targets, address);
  if (target != NULL)
    return target;
  target = g_new0 (upstream_target_t, 1);
  target->pool = pool;
  target->address = g_strdup (address);
  target->socket_address = parse_address (address);
  list_init (&target->active);
  list_init (&target->idle);
  list_init (&target->waiting);
  g_hash_table_insert (pool->targets, target->address, target);
  return target;
}

static void
remove_unused_target (upstream_target_t *target)
{
  if (target->connection_count == 0 && list_is_empty (&target->waiting))
    g_hash_table_remove (target->pool->targets, target->address);
}

void
upstream_pool_init (upstream_pool_t *pool, const upstream_pool_options_t *options)
{
  pool->options = *options;
  pool->targets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_target);
  pool->opened_count = 0;
  pool->reuse_count = 0;
  pool->stall_count = 0;
  idle_limit_init (&pool->idle_limit);
}

static void
close_connections (list_t *list)
{
  list_node_t *node = NULL;
  while ((node = list_first (list)) != NULL)
    upstream_conn_close (CONTAINER_OF (node, upstream_conn_t, node));
}

void
upstream_pool_destroy (upstream_pool_t *pool)
{
  g_autoptr (GPtrArray) targets = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, pool->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (targets, value);
  for (guint i = 0; i < targets->len; i++)
    {
      upstream_target_t *target = g_ptr_array_index (targets, i);
      /* Closing the last connection would free the target, whose lists are still in use here. */
      target->connection_count++;
      close_connections (&target->idle);
      close_connections (&target->active);
    }
  g_clear_pointer (&pool->targets, g_hash_table_unref);
}

static void
open_connection (upstream_target_t *target, upstream_exchange_t *exchange)
{
  target->connection_count++;
  target->pool->opened_count++;
  upstream_conn_t *conn
      = upstream_conn_new (target->pool, target, target->socket_address, exchange);
  list_push_back (&target->active, &conn->node);
}

/* Returns the idle connection that has been idle longest, or NULL. */
static upstream_conn_t *
longest_idle (const upstream_target_t *target)
{
  if (list_is_empty (&target->idle))
    return NULL;
  return CONTAINER_OF (target->idle.head.prev, upstream_conn_t, node);
}

/* Returns the most recently used idle connection on which EXCHANGE may be sent, or NULL. */
static upstream_conn_t *
find_suitable_idle (const upstream_target_t *target, const upstream_exchange_t *exchange)
{
  LIST_FOREACH (&target->idle, node)
  {
    upstream_conn_t *conn = CONTAINER_OF (node, upstream_conn_t, node);
    if (upstream_conn_suits (conn, exchange))
      return conn;
  }
  return NULL;
}

static void
reuse_connection (upstream_conn_t *conn, upstream_exchange_t *exchange)
{
  list_remove (&conn->node);
  list_push_back (&conn->target->active, &conn->node);
  conn->pool->reuse_count++;
  upstream_conn_assign (conn, exchange);
}

/* Closes the idle connection CONN and opens one for EXCHANGE in its place. */
static void
replace_connection (upstream_conn_t *conn, upstream_exchange_t *exchange)
{
  upstream_target_t *target = conn->target;
  /* The place stays reserved: a target without connections is freed, and a free place goes to an
   * exchange that waits. */
  target->connection_count++;
  upstream_conn_close (conn);
  target->connection_count--;
  open_connection (target, exchange);
}

/* Assigns idle and new connections to waiting exchanges. */
static void
assign_connections (upstream_target_t *target)
{
  while (!list_is_empty (&target->waiting))
    {
      list_node_t *first = list_first (&target->waiting);
      upstream_exchange_t *exchange = CONTAINER_OF (first, upstream_exchange_t, node);
      upstream_conn_t *suitable = find_suitable_idle (target, exchange);
      upstream_conn_t *oldest = longest_idle (target);
      bool below_limit = target->connection_count < target->max_connections;
      if (oldest == NULL && !below_limit)
        return;
      list_remove (first);
      if (suitable != NULL)
        reuse_connection (suitable, exchange);
      else if (below_limit)
        open_connection (target, exchange);
      else
        replace_connection (oldest, exchange);
    }
}

/* Returns whether EXCHANGE must not use an idle connection because its peer may have dropped it. If
 * this holds for the most recently used connection, it holds for all others as well. */
static bool
is_idle_too_long (const upstream_target_t *target, const upstream_exchange_t *exchange)
{
  list_node_t *idle = list_first (&target->idle);
  if (!exchange->avoid_stale_connection || idle == NULL)
    return false;
  int64_t now_us = io_loop_now_us (target->pool->options.loop);
  int64_t idle_us = now_us - CONTAINER_OF (idle, upstream_conn_t, node)->exchange_ended_us;
  return idle_us > idle_limit_get (&target->pool->idle_limit, now_us);
}

void
upstream_pool_acquire (upstream_pool_t *pool, const char *address, int max_connections,
                       upstream_exchange_t *exchange)
{
  upstream_target_t *target = get_or_add_target (pool, address);
  target->max_connections = MAX (max_connections, 1);
  exchange->target = target;
  exchange->conn = NULL;
  exchange->stalled = false;
  exchange->on_reused_connection = false;
  exchange->request_sent = false;
  if (exchange->prefer_new_connection || is_idle_too_long (target, exchange))
    {
      /* Any idle connection may be broken, so a new one is opened, at the connection limit in place
       * of the one that has been idle longest. */
      upstream_conn_t *oldest = longest_idle (target);
      if (target->connection_count < target->max_connections)
        {
          open_connection (target, exchange);
          return;
        }
      if (oldest != NULL)
        {
          replace_connection (oldest, exchange);
          return;
        }
    }
  list_push_back (&target->waiting, &exchange->node);
  assign_connections (target);
}

void
upstream_pool_cancel (upstream_exchange_t *exchange)
{
  if (exchange->conn != NULL)
    {
      upstream_conn_close (exchange->conn);
      return;
    }
  if (!list_node_is_linked (&exchange->node))
    return;
  list_remove (&exchange->node);
  remove_unused_target (exchange->target);
}

int
upstream_pool_connection_count (const upstream_pool_t *pool, const char *address)
{
  const upstream_target_t *target = g_hash_table_lookup (pool->targets, address);
  return target == NULL ? 0 : target->connection_count;
}

void
upstream_pool_conn_idle (upstream_conn_t *conn)
{
  upstream_target_t *target = conn->target;
  list_remove (&conn->node);
  list_push_front (&target->idle, &conn->node);
  /* The connection limit may have been lowered while the connection was in use. */
  if (target->connection_count > target->max_connections)
    upstream_conn_close (conn);
  else
    assign_connections (target);
}

void
upstream_pool_conn_closed (upstream_target_t *target)
{
  assign_connections (target);
  remove_unused_target (target);
}

void
upstream_pool_close_older_idle (upstream_conn_t *conn)
{
  LIST_FOREACH_SAFE (&conn->target->idle, node)
  {
    upstream_conn_t *sibling = CONTAINER_OF (node, upstream_conn_t, node);
    if (sibling->created_us <= conn->created_us)
      upstream_conn_close (sibling);
  }
}
