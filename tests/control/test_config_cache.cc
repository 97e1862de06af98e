#include "version_fixture.h"

#include <map>
#include <vector>

extern "C"
{
#include "config_cache.h"
#include "config_edit.h"
#include "rng.h"
#include "rollout.h"
#include "route_table.h"
}

namespace
{
const config_cache_options_t small_options = { 4096 };

bool
receive (config_cache_t *cache, const std::string &message, anv_error_t *err = nullptr)
{
  return config_cache_receive (cache, (const uint8_t *)message.data (), message.size (), err);
}

// What FROM answers to a fetch of TO; empty if there is no answer.
std::string
answer (config_cache_t *from, config_cache_t *to)
{
  std::string fetch = bytes_text (config_cache_build_fetch (to));
  GBytes *bytes
      = config_cache_answer_fetch (from, (const uint8_t *)fetch.data (), fetch.size (), nullptr);
  return bytes != nullptr ? bytes_text (bytes) : "";
}

wire_type_t
type_of (const std::string &message)
{
  return message.empty () ? WIRE_HELLO : (wire_type_t)(uint8_t)message[1];
}

std::string
text_of (config_cache_t *cache)
{
  return bytes_text (g_bytes_ref (config_doc_text (config_cache_doc (cache))));
}

class ConfigCache : public ::testing::Test
{
protected:
  version_store_t *store = version_store_new ();
  config_cache_t *control = config_cache_new (&small_options);
  config_cache_t *entry = config_cache_new (&small_options);

  void
  SetUp () override
  {
    std::string patch = "{'teams':{";
    for (int i = 100; i < 300; i++)
      patch += (i > 100 ? "," : "") + std::string ("'t") + std::to_string (i)
               + "':{'rate':1,'burst':9}";
    change (patch + "}}");
  }

  void
  TearDown () override
  {
    config_cache_free (entry);
    config_cache_free (control);
    version_store_free (store);
  }

  // Makes the next version and installs it in the cache of the control instance.
  void
  change (const std::string &patch)
  {
    uint64_t base = version_store_current_version (store);
    version_result_t result = apply (store, base, "p" + std::to_string (base), patch);
    ASSERT_EQ (result.outcome, VERSION_ACCEPTED) << result.text;
    version_seal_t seal = version_store_seal (store);
    ASSERT_TRUE (config_cache_install (control, &seal, version_store_doc (store), nullptr));
  }
};
}

// Guards against an entry that does not catch up, or resends the whole document for a small change.
TEST_F (ConfigCache, FullThenDelta)
{
  std::string full = answer (control, entry);
  EXPECT_EQ (type_of (full), WIRE_CONFIG_FULL);
  ASSERT_TRUE (receive (entry, full));
  EXPECT_EQ (answer (control, entry), "");
  for (int i = 0; i < 5; i++)
    change (team_patch ("t17" + std::to_string (i), 5));
  std::string delta = answer (control, entry);
  EXPECT_EQ (type_of (delta), WIRE_CONFIG_DELTA);
  EXPECT_LT (delta.size (), 600u);
  anv_error_t err = {};
  ASSERT_TRUE (receive (entry, delta, &err)) << err.text;
  EXPECT_EQ (config_cache_version (entry), 6u);
  EXPECT_EQ (digest_text (config_cache_digest (entry)), digest_text (version_store_digest (store)));
  EXPECT_TRUE (text_of (entry) == text_of (control));
}

// Guards against edits that are sent although the whole document is smaller, or kept without bound.
TEST_F (ConfigCache, LargeOrOldChangesAreSentWhole)
{
  ASSERT_TRUE (receive (entry, answer (control, entry)));
  std::string many = "{'teams':{";
  for (int i = 100; i < 300; i++)
    many += (i > 100 ? "," : "") + std::string ("'t") + std::to_string (i) + "':{'rate':2}";
  change (many + "}}");
  EXPECT_EQ (type_of (answer (control, entry)), WIRE_CONFIG_FULL);
  for (int i = 0; i < 400; i++)
    change (team_patch ("t150", i + 1));
  EXPECT_EQ (type_of (answer (control, entry)), WIRE_CONFIG_FULL);
  EXPECT_LT (config_cache_memory_bytes (control), 80000u);
  ASSERT_TRUE (receive (entry, answer (control, entry)));
  EXPECT_TRUE (text_of (entry) == text_of (control));
}

// Guards against a return to an older version, e.g. from a control instance that was cut off.
TEST_F (ConfigCache, NeverGoesBack)
{
  std::string old = answer (control, entry);
  change (team_patch ("t100", 5));
  ASSERT_TRUE (receive (entry, answer (control, entry)));
  anv_error_t err = {};
  EXPECT_FALSE (receive (entry, old, &err));
  EXPECT_EQ (err.code, VERSION_ERROR_NOT_NEWER);
  version_seal_t seal = version_store_seal (store);
  EXPECT_FALSE (config_cache_install (entry, &seal, version_store_doc (store), nullptr));
  EXPECT_EQ (config_cache_version (entry), 2u);
}

// Guards against a delta on the wrong base: another version, or the same number on another history.
TEST_F (ConfigCache, DeltaNeedsItsBase)
{
  config_cache_t *other = config_cache_new (&small_options);
  ASSERT_TRUE (receive (entry, answer (control, entry)));
  change (team_patch ("t100", 5));
  ASSERT_TRUE (receive (other, answer (control, other)));
  change (team_patch ("t100", 6));
  std::string delta = answer (control, other);
  ASSERT_EQ (type_of (delta), WIRE_CONFIG_DELTA);
  anv_error_t err = {};
  EXPECT_FALSE (receive (entry, delta, &err));
  EXPECT_EQ (err.code, VERSION_ERROR_BASE);
  EXPECT_EQ (config_cache_version (entry), 1u);

  // A second history with the same version numbers.
  version_store_t *fork = version_store_new ();
  config_cache_t *forked = config_cache_new (&small_options);
  apply (fork, 0, "x", "{}");
  apply (fork, 1, "y", "{}");
  version_seal_t seal = version_store_seal (fork);
  ASSERT_TRUE (config_cache_install (forked, &seal, version_store_doc (fork), nullptr));
  EXPECT_FALSE (receive (forked, delta, &err));
  EXPECT_EQ (err.code, VERSION_ERROR_BASE);
  EXPECT_EQ (type_of (answer (control, forked)), WIRE_CONFIG_FULL);
  EXPECT_FALSE (receive (forked, answer (control, forked), &err));
  EXPECT_STREQ (err.text, "version 3 does not follow from the installed version");
  config_announcement_t same
      = { 2, version_record_make_seal (version_store_record (store, 2),
                                       &version_store_record (store, 1)->digest)
                 .document_digest };
  EXPECT_EQ (config_cache_check_announcement (forked, &same), CONFIG_PEER_CONFLICTS);
  config_cache_free (forked);
  config_cache_free (other);
  version_store_free (fork);
}

// Guards against a partial install: every byte of a full document and of a delta is changed, and
// every cut is tried; the installed version must stay whole.
TEST_F (ConfigCache, DamagedMessagesInstallNothing)
{
  std::string full = answer (control, entry);
  config_cache_t *peer = config_cache_new (&small_options);
  ASSERT_TRUE (receive (peer, full));
  change (team_patch ("t100", 5));
  change ("{'teams':{'t299':null,'u':{'rate':1,'burst':2}},'team_default':{'rate':1,'burst':1}}");
  std::string delta = answer (control, peer);
  ASSERT_EQ (type_of (delta), WIRE_CONFIG_DELTA);
  std::string before = text_of (peer);
  for (const std::string &message : { full, delta })
    for (size_t i = 0; i < message.size (); i++)
      {
        std::string damaged = message;
        damaged[i] ^= 0x21;
        anv_error_t err = {};
        EXPECT_FALSE (receive (entry, damaged, &err)) << i;
        EXPECT_EQ (err.domain, ANV_ERROR_VERSION);
        EXPECT_FALSE (receive (peer, damaged)) << i;
        EXPECT_FALSE (receive (peer, message.substr (0, i)));
      }
  EXPECT_EQ (config_cache_doc (entry), nullptr);
  EXPECT_EQ (config_cache_version (entry), 0u);
  EXPECT_TRUE (text_of (peer) == before);
  EXPECT_TRUE (receive (peer, delta));
  EXPECT_TRUE (text_of (peer) == text_of (control));
  config_cache_free (peer);
}

// Guards against fetching from a peer that has nothing newer, and against installing a document
// that differs from what other peers announce for its version.
TEST_F (ConfigCache, AnnouncementsDecideWhatToFetch)
{
  config_announcement_t list[] = { { 0, {} }, { 3, {} }, { 7, {} }, { 7, {} }, { 5, {} } };
  EXPECT_EQ (config_cache_choose_newest (control, list, 5), 2u);
  EXPECT_EQ (config_cache_choose_newest (control, list, 1), 1u);
  EXPECT_EQ (config_cache_check_announcement (control, &list[0]), CONFIG_PEER_NOT_NEWER);
  EXPECT_EQ (config_cache_check_announcement (control, &list[1]), CONFIG_PEER_NEWER);

  config_announcement_t wrong = { 1, {} };
  EXPECT_EQ (config_cache_check_announcement (entry, &wrong), CONFIG_PEER_NEWER);
  anv_error_t err = {};
  EXPECT_FALSE (receive (entry, answer (control, entry), &err));
  EXPECT_STREQ (err.text, "version 1 has another digest than announced");
  config_announcement_t right = { 1, config_cache_digest (control) };
  EXPECT_EQ (config_cache_check_announcement (entry, &right), CONFIG_PEER_NEWER);
  EXPECT_TRUE (receive (entry, answer (control, entry)));
  EXPECT_EQ (config_cache_check_announcement (entry, &right), CONFIG_PEER_NOT_NEWER);
}

// Guards against an entry that outgrows its control memory (128 MB) or control traffic (10 KB/s
// with 3,000 changes a day: 288,000 bytes a change) at the design scale. During an install it holds
// two versions and the routing table.
TEST (ConfigCacheScale, FitsDesignScale)
{
  std::string routes, services, teams;
  char text[300];
  for (int i = 0; i < 2200; i++)
    {
      snprintf (text, sizeof (text), ",\"service-%04d\":{\"hosts\":[\"service-%04d.example\"]}", i,
                i);
      services += text;
    }
  for (int i = 0; i < 62000; i++)
    {
      snprintf (
          text, sizeof (text),
          ",\"route-%05d\":{\"class\":\"urgent\",\"idempotent\":true,\"max_body_bytes\":65536,"
          "\"methods\":[\"GET\"],\"prefix\":\"/area/resource-%d\",\"service\":\"service-%04d\","
          "\"timeout_ms\":5000}",
          i, i, i % 2200);
      routes += text;
    }
  for (int i = 0; i < 440000; i++)
    {
      snprintf (text, sizeof (text), ",\"team-%06d\":{\"burst\":%d,\"rate\":%d}", i, 10 + i % 40,
                1 + i % 17);
      teams += text;
    }
  for (std::string *part : { &routes, &services, &teams })
    (*part)[0] = '{';
  std::string document
      = "{\"routes\":" + routes + "},\"services\":" + services + "},\"teams\":" + teams + "}}";
  std::string changed = document;
  changed.replace (changed.find ("5000}", changed.size () / 5), 4, "7000");

  config_cache_options_t options = {};
  config_cache_t *cache = config_cache_new (&options);
  config_cache_t *peer = config_cache_new (&options);
  uint64_t version = 0;
  for (const std::string *json_text : { &document, &changed })
    {
      anv_error_t err = {};
      g_autoptr (GBytes) bytes = g_bytes_new (json_text->data (), json_text->size ());
      config_doc_t *doc = config_doc_new (bytes, CONFIG_SCHEMA, &err);
      ASSERT_NE (doc, nullptr) << err.text;
      version_seal_t seal = {};
      seal.schema = CONFIG_SCHEMA;
      seal.version = ++version;
      seal.previous_digest = config_cache_digest (cache);
      seal.document_digest = version_compute_text_digest (json_text->data (), json_text->size ());
      ASSERT_TRUE (config_cache_install (cache, &seal, doc, &err)) << err.text;
      config_doc_unref (doc);
      std::string message = answer (cache, peer);
      EXPECT_TRUE (receive (peer, message));
      EXPECT_TRUE (version == 1 || message.size () < 288000u) << message.size ();
    }
  route_table_t *table = route_table_new (config_cache_doc (peer));
  size_t peak = 2 * config_cache_memory_bytes (peer) + route_table_memory_bytes (table);
  EXPECT_LT (peak, 128000000u);
  route_table_free (table);
  config_cache_free (peer);
  config_cache_free (cache);
}

// Guards against edits that give another text, for random documents. Seed 5.
TEST (ConfigEdit, RandomDocuments)
{
  rng_t rng;
  rng_init (&rng, 5);
  auto random_text = [&rng] () {
    std::map<std::string, std::string> members;
    for (const char *key : { "a", "b", "\\n", "c\\\"", "d" })
      {
        const std::string values[] = { "1",
                                       "{}",
                                       "{\"x\":1}",
                                       "{\"x\":1,\"y\":[1,2]}",
                                       "{\"y\":[1,3,2]}",
                                       "[{\"b\":\"}\"},{}]",
                                       "\"{\"" };
        if (rng_below (&rng, 3) > 0)
          members[std::string (key) == "\\n" ? "\n" : key] = values[rng_below (&rng, 7)];
      }
    std::string text = "{";
    for (const auto &[key, value] : members)
      text += (text.size () > 1 ? ",\"" : "\"") + (key == "\n" ? "\\n" : key) + "\":" + value;
    return text + "}";
  };
  for (int i = 0; i < 5000; i++)
    {
      std::string from = random_text ();
      std::string to = random_text ();
      GByteArray *edits = g_byte_array_new ();
      config_edit_diff ({ from.data (), from.size () }, { to.data (), to.size () }, edits);
      g_autoptr (GBytes) base = g_bytes_new (from.data (), from.size ());
      GBytes *result = config_edit_apply (base, edits->data, edits->len, nullptr);
      ASSERT_NE (result, nullptr);
      EXPECT_EQ (bytes_text (result), to) << from;
      EXPECT_TRUE (from != to || edits->len == 0);
      g_byte_array_free (edits, TRUE);
    }
}

// Guards against a view of the rollout that grows without bound or misses instances that are
// behind.
TEST (Rollout, CountsInstancesBehind)
{
  rollout_t rollout;
  rollout_init (&rollout, 3);
  rollout_record_version (&rollout, "e1", 4, 1000);
  rollout_record_version (&rollout, "e2", 5, 1000);
  rollout_record_version (&rollout, "e1", 4, 3000);
  rollout_record_version (&rollout, "e3", 6, 2000);
  rollout_summary_t summary = rollout_summarize (&rollout, 5);
  EXPECT_EQ (summary.in_force, 2u);
  EXPECT_EQ (summary.behind, 1u);
  EXPECT_EQ (summary.lowest, 4u);
  rollout_record_version (&rollout, "e4", 6, 4000);
  rollout_record_version (&rollout, "e3", 2, 5000);
  cJSON *list = rollout_to_json (&rollout);
  g_autofree char *text = json_print_canonical (list);
  EXPECT_EQ (text, json ("[{'instance':'e1','seen_ms':3000,'since_ms':1000,'version':4},"
                         "{'instance':'e3','seen_ms':5000,'since_ms':5000,'version':2},"
                         "{'instance':'e4','seen_ms':4000,'since_ms':4000,'version':6}]"));
  cJSON_Delete (list);
  rollout_remove (&rollout, "e3");
  EXPECT_EQ (rollout_summarize (&rollout, 1).lowest, 4u);
  rollout_destroy (&rollout);
}
