#include "wire.h"

#include <glib.h>
#include <string.h>

/* First byte of each MessagePack format that the scan distinguishes. */
enum
{
  FORMAT_FIXMAP = 0x80,
  FORMAT_FIXARRAY = 0x90,
  FORMAT_FIXSTR = 0xa0,
  FORMAT_NIL = 0xc0, /* 0xc2 is false, 0xc3 is true */
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
} scanner_t;

static bool
set_scan_error (scanner_t *scan, int code, const char *text)
{
  anv_error_set (scan->err, ANV_ERROR_WIRE, code, "%s at byte %zu", text, scan->offset);
  return false;
}

static bool
skip_bytes (scanner_t *scan, uint64_t count)
{
  if (count > scan->size - scan->offset)
    return set_scan_error (scan, WIRE_ERROR_MALFORMED, "truncated message");
  scan->offset += count;
  return true;
}

static bool
read_length (scanner_t *scan, size_t width, uint64_t *length)
{
  *length = 0;
  if (scan->size - scan->offset < width)
    return set_scan_error (scan, WIRE_ERROR_MALFORMED, "truncated length");
  for (size_t i = 0; i < width; i++)
    *length = *length << 8 | scan->data[scan->offset++];
  return true;
}

static bool scan_value (scanner_t *scan, unsigned depth);

static bool
scan_array (scanner_t *scan, uint64_t count, unsigned depth)
{
  if (depth >= WIRE_MAX_DEPTH)
    return set_scan_error (scan, WIRE_ERROR_TOO_DEEP, "message nested too deeply");
  /* Each element takes at least one byte, so a larger count cannot fit. */
  if (count > scan->size - scan->offset)
    return set_scan_error (scan, WIRE_ERROR_MALFORMED, "array longer than the message");
  for (uint64_t i = 0; i < count; i++)
    {
      if (!scan_value (scan, depth + 1))
        return false;
    }
  return true;
}

static bool
scan_bytes (scanner_t *scan, size_t width)
{
  uint64_t length = 0;
  return read_length (scan, width, &length) && skip_bytes (scan, length);
}

static bool
scan_sized_array (scanner_t *scan, size_t width, unsigned depth)
{
  uint64_t count = 0;
  return read_length (scan, width, &count) && scan_array (scan, count, depth);
}

/* Checks a value before it is unpacked. msgpack_unpack() allocates memory for the element count in
 * an array header before it reads the elements, so this scan rejects counts that do not fit into
 * the message. It also rejects formats that no message uses (maps and extensions). */
static bool
scan_value (scanner_t *scan, unsigned depth)
{
  if (scan->offset >= scan->size)
    return set_scan_error (scan, WIRE_ERROR_MALFORMED, "truncated message");
  uint8_t format = scan->data[scan->offset++];

  if (format < FORMAT_FIXMAP || format >= FORMAT_NEGATIVE)
    return true;
  if (format >= FORMAT_FIXSTR && format < FORMAT_NIL)
    return skip_bytes (scan, format & 0x1f);
  if (format >= FORMAT_FIXARRAY && format < FORMAT_FIXSTR)
    return scan_array (scan, format & 0x0f, depth);
  if (format >= FORMAT_BIN8 && format < FORMAT_EXT8)
    return scan_bytes (scan, (size_t)1 << (format - FORMAT_BIN8));
  if (format >= FORMAT_STR8 && format < FORMAT_ARRAY16)
    return scan_bytes (scan, (size_t)1 << (format - FORMAT_STR8));
  if (format >= FORMAT_ARRAY16 && format < FORMAT_MAP16)
    return scan_sized_array (scan, (size_t)2 << (format - FORMAT_ARRAY16), depth);
  if (format >= FORMAT_FLOAT32 && format < FORMAT_FIXEXT1)
    {
      static const uint8_t widths[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };
      return skip_bytes (scan, widths[format - FORMAT_FLOAT32]);
    }
  if (format == FORMAT_NIL || format == FORMAT_NIL + 2 || format == FORMAT_NIL + 3)
    return true;
  return set_scan_error (scan, WIRE_ERROR_MALFORMED, "unexpected format");
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
  scanner_t scan = { .data = data, .size = size, .err = err };
  memset (reader, 0, sizeof (*reader));
  if (!scan_value (&scan, 0))
    return false;
  if (scan.offset != size)
    return set_scan_error (&scan, WIRE_ERROR_MALFORMED, "bytes after the message");

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
next_string (wire_reader_t *reader)
{
  static const msgpack_object_str empty = { .size = 0, .ptr = "" };
  const msgpack_object *object = next_of_type (reader, MSGPACK_OBJECT_STR);
  if (object == NULL)
    return NULL;
  /* msgpack_unpack() does not set the pointer of an empty string that is the first string. */
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
  const msgpack_object_str *string = next_string (reader);
  return string != NULL ? g_strndup (string->ptr, string->size) : g_strdup ("");
}

void
wire_read_string_into (wire_reader_t *reader, char *buffer, size_t size)
{
  const msgpack_object_str *string = next_string (reader);
  buffer[0] = '\0';
  if (string == NULL)
    return;
  if (string->size >= size)
    {
      reader->failed = true;
      return;
    }
  memcpy (buffer, string->ptr, string->size);
  buffer[string->size] = '\0';
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
wire_read_fixed_bytes (wire_reader_t *reader, uint8_t *out, size_t size)
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
wire_has_more (const wire_reader_t *reader)
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
