#include "wire.h"

#include <glib.h>
#include <string.h>

/* First byte of the MessagePack formats that this module has to recognise. */
enum
{
  FORMAT_FIXMAP = 0x80,
  FORMAT_FIXARRAY = 0x90,
  FORMAT_FIXSTR = 0xa0,
  FORMAT_NIL = 0xc0,
  FORMAT_BIN8 = 0xc4,
  FORMAT_EXT8 = 0xc7,
  FORMAT_FLOAT32 = 0xca,
  FORMAT_FIXEXT1 = 0xd4,
  FORMAT_STR8 = 0xd9,
  FORMAT_ARRAY16 = 0xdc,
  FORMAT_MAP16 = 0xde,
  FORMAT_NEGATIVE = 0xe0,
};

#define ROOT_DEPTH 1

typedef struct
{
  const uint8_t *data;
  size_t size;
  size_t offset;
  anv_error_t *err;
} scan_t;

static bool
scan_error (scan_t *scan, int code, const char *text)
{
  anv_error_set (scan->err, ANV_ERROR_WIRE, code, "%s at byte %zu", text, scan->offset);
  return false;
}

static bool
scan_skip (scan_t *scan, uint64_t count)
{
  if (count > scan->size - scan->offset)
    return scan_error (scan, WIRE_ERROR_MALFORMED, "truncated message");
  scan->offset += count;
  return true;
}

static bool
scan_length (scan_t *scan, size_t width, uint64_t *length)
{
  *length = 0;
  if (scan->size - scan->offset < width)
    return scan_error (scan, WIRE_ERROR_MALFORMED, "truncated length");
  for (size_t i = 0; i < width; i++)
    *length = *length << 8 | scan->data[scan->offset++];
  return true;
}

static bool scan_value (scan_t *scan, unsigned depth);

static bool
scan_array (scan_t *scan, uint64_t count, unsigned depth)
{
  if (depth >= WIRE_MAX_DEPTH)
    return scan_error (scan, WIRE_ERROR_TOO_DEEP, "message nested too deeply");
  /* Each element takes at least one byte, so a larger count cannot be satisfied. */
  if (count > scan->size - scan->offset)
    return scan_error (scan, WIRE_ERROR_MALFORMED, "array longer than the message");
  for (uint64_t i = 0; i < count; i++)
    {
      if (!scan_value (scan, depth + 1))
        return false;
    }
  return true;
}

static bool
scan_sized (scan_t *scan, size_t width)
{
  uint64_t length = 0;
  return scan_length (scan, width, &length) && scan_skip (scan, length);
}

static bool
scan_sized_array (scan_t *scan, size_t width, unsigned depth)
{
  uint64_t count = 0;
  return scan_length (scan, width, &count) && scan_array (scan, count, depth);
}

/* The unpacker of the library allocates for the element count that an array header claims, before
 * it has seen the elements. This scan rejects a count that the message cannot hold, and the formats
 * that no message uses (maps and extensions). */
static bool
scan_value (scan_t *scan, unsigned depth)
{
  if (scan->offset >= scan->size)
    return scan_error (scan, WIRE_ERROR_MALFORMED, "truncated message");
  uint8_t format = scan->data[scan->offset++];

  if (format < FORMAT_FIXMAP || format >= FORMAT_NEGATIVE)
    return true;
  if (format >= FORMAT_FIXSTR && format < FORMAT_NIL)
    return scan_skip (scan, format & 0x1f);
  if (format >= FORMAT_FIXARRAY && format < FORMAT_FIXSTR)
    return scan_array (scan, format & 0x0f, depth);
  if (format >= FORMAT_BIN8 && format < FORMAT_EXT8)
    return scan_sized (scan, (size_t)1 << (format - FORMAT_BIN8));
  if (format >= FORMAT_STR8 && format < FORMAT_ARRAY16)
    return scan_sized (scan, (size_t)1 << (format - FORMAT_STR8));
  if (format >= FORMAT_ARRAY16 && format < FORMAT_MAP16)
    return scan_sized_array (scan, (size_t)2 << (format - FORMAT_ARRAY16), depth);
  if (format >= FORMAT_FLOAT32 && format < FORMAT_FIXEXT1)
    {
      static const uint8_t widths[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };
      return scan_skip (scan, widths[format - FORMAT_FLOAT32]);
    }
  if (format == FORMAT_NIL || format == FORMAT_NIL + 2 || format == FORMAT_NIL + 3)
    return true;
  return scan_error (scan, WIRE_ERROR_MALFORMED, "unexpected format");
}

void
wire_writer_init (wire_writer_t *writer, wire_type_t type, size_t field_count)
{
  msgpack_sbuffer_init (&writer->buffer);
  msgpack_packer_init (&writer->packer, &writer->buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&writer->packer, field_count + 1);
  msgpack_pack_uint64 (&writer->packer, type);
}

void
wire_writer_destroy (wire_writer_t *writer)
{
  msgpack_sbuffer_destroy (&writer->buffer);
}

void
wire_write_uint (wire_writer_t *writer, uint64_t value)
{
  msgpack_pack_uint64 (&writer->packer, value);
}

void
wire_write_int (wire_writer_t *writer, int64_t value)
{
  msgpack_pack_int64 (&writer->packer, value);
}

void
wire_write_double (wire_writer_t *writer, double value)
{
  msgpack_pack_double (&writer->packer, value);
}

void
wire_write_bool (wire_writer_t *writer, bool value)
{
  if (value)
    msgpack_pack_true (&writer->packer);
  else
    msgpack_pack_false (&writer->packer);
}

void
wire_write_string (wire_writer_t *writer, const char *text)
{
  msgpack_pack_str_with_body (&writer->packer, text, strlen (text));
}

void
wire_write_bytes (wire_writer_t *writer, const void *data, size_t size)
{
  msgpack_pack_bin_with_body (&writer->packer, data, size);
}

void
wire_write_blob (wire_writer_t *writer, GBytes *bytes)
{
  gsize size = 0;
  const void *data = bytes != NULL ? g_bytes_get_data (bytes, &size) : NULL;
  wire_write_bytes (writer, size > 0 ? data : "", size);
}

void
wire_write_array (wire_writer_t *writer, size_t count)
{
  msgpack_pack_array (&writer->packer, count);
}

static const msgpack_object *
next_object (wire_reader_t *reader)
{
  if (reader->failed)
    return NULL;
  unsigned top = reader->depth - 1;
  if (reader->stack[top].next >= reader->stack[top].array->size)
    {
      reader->failed = true;
      return NULL;
    }
  return &reader->stack[top].array->ptr[reader->stack[top].next++];
}

/* Returns the next field if it has TYPE; otherwise marks the reader as failed. */
static const msgpack_object *
next_of_type (wire_reader_t *reader, msgpack_object_type type)
{
  const msgpack_object *object = next_object (reader);
  if (object != NULL && object->type != type)
    {
      reader->failed = true;
      return NULL;
    }
  return object;
}

bool
wire_reader_init (wire_reader_t *reader, const uint8_t *data, size_t size, wire_type_t *type,
                  anv_error_t *err)
{
  scan_t scan = { .data = data, .size = size, .err = err };
  memset (reader, 0, sizeof (*reader));
  if (!scan_value (&scan, 0))
    return false;
  if (scan.offset != size)
    return scan_error (&scan, WIRE_ERROR_MALFORMED, "bytes after the message");

  if (!msgpack_zone_init (&reader->zone, MSGPACK_ZONE_CHUNK_SIZE))
    g_error ("out of memory");
  size_t offset = 0;
  msgpack_unpack_return status
      = msgpack_unpack ((const char *)data, size, &offset, &reader->zone, &reader->root);
  if (status != MSGPACK_UNPACK_SUCCESS || reader->root.type != MSGPACK_OBJECT_ARRAY)
    {
      wire_reader_destroy (reader);
      anv_error_set (err, ANV_ERROR_WIRE, WIRE_ERROR_MALFORMED, "message is not an array");
      return false;
    }
  reader->depth = ROOT_DEPTH;
  reader->stack[0].array = &reader->root.via.array;
  *type = (wire_type_t)wire_read_uint (reader);
  if (wire_reader_finish (reader, err))
    return true;
  wire_reader_destroy (reader);
  return false;
}

void
wire_reader_destroy (wire_reader_t *reader)
{
  msgpack_zone_destroy (&reader->zone);
}

uint64_t
wire_read_uint (wire_reader_t *reader)
{
  const msgpack_object *object = next_of_type (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);
  return object != NULL ? object->via.u64 : 0;
}

int64_t
wire_read_int (wire_reader_t *reader)
{
  const msgpack_object *object = next_object (reader);
  if (object == NULL)
    return 0;
  if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return object->via.i64;
  if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER && object->via.u64 <= INT64_MAX)
    return (int64_t)object->via.u64;
  reader->failed = true;
  return 0;
}

double
wire_read_double (wire_reader_t *reader)
{
  const msgpack_object *object = next_of_type (reader, MSGPACK_OBJECT_FLOAT64);
  return object != NULL ? object->via.f64 : 0;
}

bool
wire_read_bool (wire_reader_t *reader)
{
  const msgpack_object *object = next_of_type (reader, MSGPACK_OBJECT_BOOLEAN);
  return object != NULL && object->via.boolean;
}

static const msgpack_object_str *
next_text (wire_reader_t *reader)
{
  static const msgpack_object_str empty = { .size = 0, .ptr = "" };
  const msgpack_object *object = next_of_type (reader, MSGPACK_OBJECT_STR);
  if (object == NULL)
    return NULL;
  /* The unpacker leaves the pointer of an empty text unset if no other text came before it. */
  if (object->via.str.size == 0)
    return &empty;
  if (memchr (object->via.str.ptr, '\0', object->via.str.size) != NULL)
    {
      reader->failed = true;
      return NULL;
    }
  return &object->via.str;
}

char *
wire_read_string (wire_reader_t *reader)
{
  const msgpack_object_str *text = next_text (reader);
  return text != NULL ? g_strndup (text->ptr, text->size) : g_strdup ("");
}

void
wire_read_string_to (wire_reader_t *reader, char *buffer, size_t size)
{
  const msgpack_object_str *text = next_text (reader);
  buffer[0] = '\0';
  if (text == NULL)
    return;
  if (text->size >= size)
    {
      reader->failed = true;
      return;
    }
  memcpy (buffer, text->ptr, text->size);
  buffer[text->size] = '\0';
}

const uint8_t *
wire_read_bytes (wire_reader_t *reader, size_t *size)
{
  const msgpack_object *object = next_of_type (reader, MSGPACK_OBJECT_BIN);
  *size = object != NULL ? object->via.bin.size : 0;
  return object != NULL ? (const uint8_t *)object->via.bin.ptr : NULL;
}

GBytes *
wire_read_blob (wire_reader_t *reader)
{
  size_t size = 0;
  const uint8_t *data = wire_read_bytes (reader, &size);
  return size > 0 ? g_bytes_new (data, size) : NULL;
}

void
wire_read_fixed (wire_reader_t *reader, uint8_t *out, size_t size)
{
  size_t actual = 0;
  const uint8_t *data = wire_read_bytes (reader, &actual);
  if (data != NULL && actual == size)
    memcpy (out, data, size);
  else
    reader->failed = true;
}

uint32_t
wire_read_array (wire_reader_t *reader)
{
  const msgpack_object *object = next_of_type (reader, MSGPACK_OBJECT_ARRAY);
  if (object == NULL || reader->depth >= WIRE_MAX_DEPTH)
    {
      reader->failed = true;
      return 0;
    }
  reader->stack[reader->depth].array = &object->via.array;
  reader->stack[reader->depth].next = 0;
  reader->depth++;
  return object->via.array.size;
}

void
wire_read_array_end (wire_reader_t *reader)
{
  if (reader->failed)
    return;
  g_assert (reader->depth > ROOT_DEPTH);
  reader->depth--;
}

bool
wire_read_more (const wire_reader_t *reader)
{
  if (reader->failed || reader->depth == 0)
    return false;
  return reader->stack[reader->depth - 1].next < reader->stack[reader->depth - 1].array->size;
}

bool
wire_reader_finish (wire_reader_t *reader, anv_error_t *err)
{
  if (!reader->failed)
    return true;
  anv_error_set (err, ANV_ERROR_WIRE, WIRE_ERROR_FIELD, "missing field or field of the wrong type");
  return false;
}
