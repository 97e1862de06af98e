#include "config_edit.h"

#include <string.h>

#include "config_doc.h"

#define EDIT_HEADER_SIZE 12
/* Block size for comparing texts with memcmp(), which is faster than a loop over bytes. */
#define COMPARE_BLOCK_BYTES 256
/* Up to this many inserted bytes, the whole difference is sent as one edit, without comparing the
 * members. */
#define MAX_SINGLE_EDIT_BYTES 1024

typedef struct
{
  const char *base; /* start of the old text */
  GByteArray *edits;
} diff_t;

static void
add_edit (const diff_t *diff, const char *at, size_t removed, json_slice_t inserted)
{
  guint32 header[] = {
    GUINT32_TO_BE ((guint32)(at - diff->base)),
    GUINT32_TO_BE ((guint32)removed),
    GUINT32_TO_BE ((guint32)inserted.size),
  };
  g_byte_array_append (diff->edits, (const guint8 *)header, EDIT_HEADER_SIZE);
  g_byte_array_append (diff->edits, (const guint8 *)inserted.data, (guint)inserted.size);
}

/* Returns the size of the common prefix in bytes. */
static size_t
common_prefix_size (json_slice_t a, json_slice_t b)
{
  size_t shorter = MIN (a.size, b.size);
  size_t i = 0;
  while (i + COMPARE_BLOCK_BYTES <= shorter
         && memcmp (a.data + i, b.data + i, COMPARE_BLOCK_BYTES) == 0)
    i += COMPARE_BLOCK_BYTES;
  while (i < shorter && a.data[i] == b.data[i])
    i++;
  return i;
}

/* Returns the size in bytes of the common suffix that does not overlap the first START bytes. */
static size_t
common_suffix_size (json_slice_t a, json_slice_t b, size_t start)
{
  const char *a_end = a.data + a.size;
  const char *b_end = b.data + b.size;
  size_t limit = MIN (a.size, b.size) - start;
  size_t i = 0;
  while (i + COMPARE_BLOCK_BYTES <= limit
         && memcmp (a_end - i - COMPARE_BLOCK_BYTES, b_end - i - COMPARE_BLOCK_BYTES,
                    COMPARE_BLOCK_BYTES)
                == 0)
    i += COMPARE_BLOCK_BYTES;
  while (i < limit && a_end[-1 - (ptrdiff_t)i] == b_end[-1 - (ptrdiff_t)i])
    i++;
  return i;
}

/* Adds one edit that replaces everything between the common prefix and the common suffix. Returns
 * false and adds nothing if it would insert more than MAX_INSERTED_BYTES. */
static bool
diff_text (const diff_t *diff, json_slice_t from, json_slice_t to, size_t max_inserted_bytes)
{
  size_t start = common_prefix_size (from, to);
  size_t end = common_suffix_size (from, to, start);
  json_slice_t inserted = { to.data + start, to.size - start - end };
  if (inserted.size > max_inserted_bytes)
    return false;
  add_edit (diff, from.data + start, from.size - start - end, inserted);
  return true;
}

static void diff_value (const diff_t *diff, json_slice_t from, json_slice_t to);

/* Position in the members of an object. An edit inserts or removes a member together with the
 * separator or brace that follows it, so that this is possible at any position. */
typedef struct
{
  json_cursor_t cursor;
  json_slice_t key;
  json_slice_t value;
  bool has_member;
} member_walk_t;

static void
advance (member_walk_t *walk)
{
  walk->has_member = json_cursor_next (&walk->cursor, &walk->key, &walk->value);
}

static bool
open_walk (member_walk_t *walk, json_slice_t object)
{
  if (!json_cursor_open (&walk->cursor, object, '{'))
    return false;
  advance (walk);
  return walk->has_member;
}

/* Returns the current member, from the opening quote of its key to the separator that follows it.
 */
static json_slice_t
member_text (const member_walk_t *walk)
{
  const char *start = walk->key.data - 1;
  return (json_slice_t){ start, (size_t)(walk->cursor.next - start) + 1 };
}

static void
diff_member (const diff_t *diff, const member_walk_t *from, const member_walk_t *to)
{
  diff_value (diff, from->value, to->value);
  if (*from->cursor.next != *to->cursor.next)
    add_edit (diff, from->cursor.next, 1, (json_slice_t){ to->cursor.next, 1 });
}

static void
diff_members (const diff_t *diff, member_walk_t *from, member_walk_t *to, const char *end)
{
  static const json_slice_t empty = { "", 0 };
  while (from->has_member || to->has_member)
    {
      int order = !from->has_member ? 1 : -1;
      if (from->has_member && to->has_member)
        order = json_key_compare (from->key, to->key);
      if (order < 0)
        add_edit (diff, from->key.data - 1, member_text (from).size, empty);
      else if (order > 0)
        add_edit (diff, from->has_member ? from->key.data - 1 : end, 0, member_text (to));
      else
        diff_member (diff, from, to);
      if (order <= 0)
        advance (from);
      if (order >= 0)
        advance (to);
    }
}

static void
diff_value (const diff_t *diff, json_slice_t from, json_slice_t to)
{
  member_walk_t left;
  member_walk_t right;
  if (json_slice_equal (from, to))
    return;
  if (open_walk (&left, from) && open_walk (&right, to))
    diff_members (diff, &left, &right, from.data + from.size);
  else
    diff_text (diff, from, to, SIZE_MAX);
}

void
config_edit_diff (json_slice_t from, json_slice_t to, GByteArray *edits)
{
  diff_t diff = { from.data, edits };
  if (!json_slice_equal (from, to) && !diff_text (&diff, from, to, MAX_SINGLE_EDIT_BYTES))
    diff_value (&diff, from, to);
}

static bool
edit_error (anv_error_t *err)
{
  anv_error_set (err, ANV_ERROR_CONFIG, CONFIG_ERROR_EDIT,
                 "the edits do not fit the document, or the result is too large");
  return false;
}

/* Reads the header of the next edit: the offset, and the numbers of bytes to remove and to insert.
 * Returns false if the edit does not fit the old text of SIZE bytes, the first CONSUMED of which
 * are already copied or removed. */
static bool
read_edit (json_slice_t *edits, size_t consumed, size_t size, guint32 header[3])
{
  if (edits->size < EDIT_HEADER_SIZE)
    return false;
  memcpy (header, edits->data, EDIT_HEADER_SIZE);
  for (size_t i = 0; i < 3; i++)
    header[i] = GUINT32_FROM_BE (header[i]);
  edits->data += EDIT_HEADER_SIZE;
  edits->size -= EDIT_HEADER_SIZE;
  return header[0] >= consumed && header[0] <= size && header[1] <= size - header[0]
         && header[2] <= edits->size;
}

static bool
apply_edits (json_slice_t from, json_slice_t edits, GString *out, anv_error_t *err)
{
  size_t consumed = 0;
  while (edits.size > 0)
    {
      guint32 header[3];
      if (!read_edit (&edits, consumed, from.size, header))
        return edit_error (err);
      g_string_append_len (out, from.data + consumed, (gssize)(header[0] - consumed));
      g_string_append_len (out, edits.data, (gssize)header[2]);
      edits.data += header[2];
      edits.size -= header[2];
      consumed = header[0] + header[1];
      if (out->len > CONFIG_MAX_TEXT_SIZE)
        return edit_error (err);
    }
  g_string_append_len (out, from.data + consumed, (gssize)(from.size - consumed));
  return out->len <= CONFIG_MAX_TEXT_SIZE || edit_error (err);
}

GBytes *
config_edit_apply (GBytes *from, const uint8_t *edits, size_t size, anv_error_t *err)
{
  json_slice_t base = { .data = NULL };
  base.data = g_bytes_get_data (from, &base.size);
  GString *out = g_string_sized_new (base.size + 256);
  bool ok = apply_edits (base, (json_slice_t){ (const char *)edits, size }, out, err);
  gsize length = out->len;
  char *text = g_string_free (out, FALSE);
  if (ok)
    return g_bytes_new_take (text, length);
  g_free (text);
  return NULL;
}
