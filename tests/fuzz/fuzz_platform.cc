/* What the platform's operators and targets send. Input: a byte that chooses the call, and its
 * body. */

#include <cJSON.h>
#include <cstring>

#include "fuzz.h"
extern "C"
{
#include "fleet_wire.h"
#include "platform_adapter.h"
}
#include "sample_config.h"

#define NOW_US INT64_C (1000000000)
#define WALL_MS INT64_C (1700000000000)

namespace
{
enum
{
  CALL_CONFIG,
  CALL_PATCH,
  CALL_HEARTBEAT,
  CALL_DEREGISTRATION,
  CALL_COUNT,
};

/* Returns the document that CHANGE holds, or NULL if it breaks a rule of the schema. */
config_doc_t *
parse_document (const platform_change_t *change)
{
  anv_error_t err = {};
  config_doc_t *doc
      = config_doc_parse (change->document, strlen (change->document), CONFIG_SCHEMA, &err);
  FUZZ_CHECK (doc != nullptr || err.text[0] != '\0');
  return doc;
}

/* Reads a call of READ. Returns false, with a reason, if it is refused. */
bool
read_change (decltype (platform_read_config) * read, const char *body, size_t size,
             platform_change_t *change)
{
  anv_error_t err = {};
  bool accepted = read (body, size, "00000001", change, &err);
  FUZZ_CHECK (accepted || err.text[0] != '\0');
  return accepted;
}

/* Checks that an accepted configuration is read back as what it is accepted as again. */
void
check_config (const char *body, size_t size)
{
  platform_change_t change;
  if (!read_change (platform_read_config, body, size, &change))
    return;
  config_doc_t *doc = parse_document (&change);
  platform_change_clear (&change);
  if (doc == nullptr)
    return;
  char *written = platform_write_config (doc);
  FUZZ_CHECK (written != nullptr);
  platform_change_t again;
  FUZZ_CHECK (read_change (platform_read_config, written, strlen (written), &again));
  config_doc_t *doc_again = parse_document (&again);
  FUZZ_CHECK (doc_again != nullptr);
  char *written_again = platform_write_config (doc_again);
  FUZZ_CHECK (strcmp (written, written_again) == 0);
  FUZZ_CHECK (g_bytes_equal (config_doc_text (doc), config_doc_text (doc_again)));
  cJSON_free (written);
  cJSON_free (written_again);
  platform_change_clear (&again);
  config_doc_unref (doc);
  config_doc_unref (doc_again);
}

void
check_patch (const char *body, size_t size)
{
  platform_change_t change;
  if (!read_change (platform_read_patch, body, size, &change))
    return;
  platform_set_prefix_form (&change, true);
  platform_set_prefix_form (&change, false);
  platform_set_clears_public (&change, false);
  platform_set_clears_public (&change, true);
  platform_change_clear (&change);
}

/* Checks that an accepted target reaches the other processes as it was accepted. */
void
check_heartbeat (const char *body, size_t size)
{
  registry_target_t target = {};
  if (platform_read_heartbeat ("t-1", body, size, NOW_US, WALL_MS, &target) != nullptr)
    return;
  FUZZ_CHECK (target.service[0] != '\0' && target.address[0] != '\0');
  FUZZ_CHECK (target.state == REGISTRY_READY || target.state == REGISTRY_DRAINING);
  GArray *sent = g_array_new (FALSE, TRUE, sizeof (registry_target_t));
  GArray *received = g_array_new (FALSE, TRUE, sizeof (registry_target_t));
  g_array_append_val (sent, target);
  wire_writer_t writer;
  fleet_targets_encode (sent, NOW_US, &writer);
  wire_reader_t reader;
  wire_type_t type;
  anv_error_t err = {};
  FUZZ_CHECK (wire_reader_init (&reader, (const uint8_t *)writer.buffer.data, writer.buffer.size,
                                &type, &err));
  FUZZ_CHECK (fleet_targets_decode (received, NOW_US, &reader) && received->len == 1);
  const registry_target_t *other = &g_array_index (received, registry_target_t, 0);
  FUZZ_CHECK (strcmp (other->id, target.id) == 0 && strcmp (other->address, target.address) == 0);
  FUZZ_CHECK (strcmp (other->service, target.service) == 0
              && strcmp (other->domain, target.domain) == 0);
  FUZZ_CHECK (other->slots == target.slots && other->state == target.state);
  FUZZ_CHECK (other->started_at_ms == target.started_at_ms && other->sequence == target.sequence);
  wire_reader_destroy (&reader);
  wire_writer_destroy (&writer);
  g_array_unref (sent);
  g_array_unref (received);
}
}

std::vector<std::string>
fuzz_seeds ()
{
  std::vector<std::string> seeds;
  const auto add = [&seeds] (char call, const char *text) {
    seeds.push_back (std::string (1, call) + to_json (text));
  };
  add (CALL_CONFIG, SAMPLE_CONFIG);
  add (CALL_CONFIG, SAMPLE_TEAMS);
  add (CALL_CONFIG, "{'version':'00000002','routes':[],'services':[]}");
  add (CALL_PATCH,
       "{'version':'00000002','upsert':{'routes':[{'name':'r','host':'h','path_prefix':'/x/',"
       "'service':'s','timeout_ms':5}],'services':[{'name':'s'}]},'drop':{'routes':['q']}}");
  add (CALL_PATCH, "{'version':'00000002','upsert':{'tenants':[{'name':'t','api_keys':['k'],"
                   "'rate_per_s':2}]},'drop':{'tenants':['u']}}");
  add (CALL_HEARTBEAT,
       "{'address':'10.0.0.1:80','born':1700000000000,'info':{'service':'s','version':'3',"
       "'zone':'z','slots':4},'status':{'state':'ready','sequence':7,'warmup_left_ms':20}}");
  add (CALL_HEARTBEAT,
       "{'address':'[::1]:65535','info':{'service':'s','zone':'z'},'status':{'state':'draining'}}");
  add (CALL_DEREGISTRATION, "{'born':1700000000000}");
  add (CALL_DEREGISTRATION, "");
  return seeds;
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size < 1)
    return 0;
  const char *body = (const char *)data + 1;
  size_t body_size = size - 1;
  int64_t started_at_ms = 0;
  switch (data[0] % CALL_COUNT)
    {
    case CALL_CONFIG:
      check_config (body, body_size);
      break;
    case CALL_PATCH:
      check_patch (body, body_size);
      break;
    case CALL_HEARTBEAT:
      check_heartbeat (body, body_size);
      break;
    case CALL_DEREGISTRATION:
      platform_read_deregistration ("t-1", body, body_size, WALL_MS, &started_at_ms);
      break;
    }
  return 0;
}
