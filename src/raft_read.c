#include "raft_internal.h"

void
raft_read_abort (raft_t *r)
{
  GArray *reads = r->reads;
  if (reads->len == 0)
    return;
  r->reads = g_array_new (FALSE, FALSE, sizeof (raft_read_t));
  for (guint i = 0; i < reads->len && r->io->ops->read_done != NULL; i++)
    r->io->ops->read_done (r->io, g_array_index (reads, raft_read_t, i).id, false);
  g_array_unref (reads);
}

/* Returns the last round that a majority of the voters, including this leader, has answered. */
static uint64_t
confirmed_round (const raft_t *r)
{
  uint64_t confirmed = 0;
  for (size_t i = 0; i < r->peer_count; i++)
    {
      uint64_t round = r->peers[i].member.id == r->meta.id ? r->round : r->peers[i].acked_round;
      size_t reply_count = 0;
      for (size_t j = 0; j < r->peer_count; j++)
        {
          bool self = r->peers[j].member.id == r->meta.id;
          reply_count += r->peers[j].member.voter && (self || r->peers[j].acked_round >= round);
        }
      if (reply_count >= raft_quorum_size (r) && round > confirmed)
        confirmed = round;
    }
  return confirmed;
}

void
raft_read_complete (raft_t *r)
{
  if (r->reads->len == 0)
    return;
  uint64_t round = confirmed_round (r);
  guint confirmed_count = 0;
  /* Reads are ordered by round and by index, so the first unconfirmed one ends the loop. */
  while (confirmed_count < r->reads->len)
    {
      raft_read_t read = g_array_index (r->reads, raft_read_t, confirmed_count);
      if (read.round > round || read.index > r->applied)
        break;
      confirmed_count++;
      if (r->io->ops->read_done != NULL)
        r->io->ops->read_done (r->io, read.id, true);
    }
  g_array_remove_range (r->reads, 0, confirmed_count);
}
