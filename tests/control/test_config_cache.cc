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

// Returns the answer of FROM to a fetch request from TO, or an empty string if there is none.
std::string
answer_fetch (config_cache_t *from, config_cache_t *to)
{
  std::string fetch = take_bytes_text (config_cache_build_fetch (to));
  GBytes *bytes
      = config_cache_answer_fetch (from, (const uint8_t *)fetch.data (), fetch.size (), nullptr);
  return bytes != nullptr ? take_bytes_text (bytes) : "";
}

wire_type_t
message_type (const std::string &message)
{
  return message.empty () ? WIRE_HELLO : (wire_type_t)(uint8_t)message[1];
}

std::string
installed_text (config_cache_t *cache)
{
  return take_bytes_text (g_bytes_ref (config_doc_text (config_cache_doc (cache))));
}

class ConfigCache : public ::testing::Test
{
protected:
  version_store_t *store = version_store_new ();
  config_cache_t *control_cache = config_cache_new (&small_options);
  config_cache_t *entry_cache = config_cache_new (&small_options);

  void
  SetUp () override
  {
    std::string patch = "{'teams':{";
    for (int i = 100; i < 300; i++)
      patch += (i > 100 ? "," : "") + std::string ("'t") + std::to_string (i)
               + "':{'rate':1,'burst':9}";
    apply_and_install (patch + "}}");
  }

  void
  TearDown () override
  {
    config_cache_free (entry_cache);
    config_cache_free (control_cache);
    version_store_free (store);
  }

  // Makes the next version from PATCH and installs it in the cache of the control instance.
  void
  apply_and_install (const std::string &patch)
  {
    uint64_t base = version_store_current_version (store);
    version_result_t result = apply_patch (store, base, "p" + std::to_string (base), patch);
    ASSERT_EQ (result.outcome, VERSION_ACCEPTED) << result.text;
    version_seal_t seal = version_store_seal (store);
    ASSERT_TRUE (config_cache_install (control_cache, &seal, version_store_doc (store), nullptr));
  }
};
}

// Guards against an entry that stays behind, or fetches the whole document for a small change.
TEST_F (ConfigCache, FullThenDelta)
{
  std::string full = answer_fetch (control_cache, entry_cache);
  EXPECT_EQ (message_type (full), WIRE_CONFIG_FULL);
  ASSERT_TRUE (receive (entry_cache, full));
  EXPECT_EQ (answer_fetch (control_cache, entry_cache), "");
  for (int i = 0; i < 5; i++)
    apply_and_install (team_patch ("t17" + std::to_string (i), 5));
  std::string delta = answer_fetch (control_cache, entry_cache);
  EXPECT_EQ (message_type (delta), WIRE_CONFIG_DELTA);
  EXPECT_LT (delta.size (), 600u);
  anv_error_t err = {};
  ASSERT_TRUE (receive (entry_cache, delta, &err)) << err.text;
  EXPECT_EQ (config_cache_version (entry_cache), 6u);
  EXPECT_EQ (digest_text (config_cache_digest (entry_cache)),
             digest_text (version_store_digest (store)));
  EXPECT_TRUE (installed_text (entry_cache) == installed_text (control_cache));
}

// Guards against edits that are sent although the whole document is smaller, or that are kept
// without a memory limit.
TEST_F (ConfigCache, LargeOrOldChangesAreSentWhole)
{
  ASSERT_TRUE (receive (entry_cache, answer_fetch (control_cache, entry_cache)));
  std::string large_patch = "{'teams':{";
  for (int i = 100; i < 300; i++)
    large_patch += (i > 100 ? "," : "") + std::string ("'t") + std::to_string (i) + "':{'rate':2}";
  apply_and_install (large_patch + "}}");
  EXPECT_EQ (message_type (answer_fetch (control_cache, entry_cache)), WIRE_CONFIG_FULL);
  for (int i = 0; i < 400; i++)
    apply_and_install (team_patch ("t150", i + 1));
  EXPECT_EQ (message_type (answer_fetch (control_cache, entry_cache)), WIRE_CONFIG_FULL);
  EXPECT_LT (config_cache_memory_bytes (control_cache), 80000u);
  ASSERT_TRUE (receive (entry_cache, answer_fetch (control_cache, entry_cache)));
  EXPECT_TRUE (installed_text (entry_cache) == installed_text (control_cache));
}

// Guards against installing an older version, e.g. from a control instance that was partitioned.
TEST_F (ConfigCache, NeverGoesBack)
{
  std::string old_message = answer_fetch (control_cache, entry_cache);
  apply_and_install (team_patch ("t100", 5));
  ASSERT_TRUE (receive (entry_cache, answer_fetch (control_cache, entry_cache)));
  anv_error_t err = {};
  EXPECT_FALSE (receive (entry_cache, old_message, &err));
  EXPECT_EQ (err.code, VERSION_ERROR_NOT_NEWER);
  version_seal_t seal = version_store_seal (store);
  EXPECT_FALSE (config_cache_install (entry_cache, &seal, version_store_doc (store), nullptr));
  EXPECT_EQ (config_cache_version (entry_cache), 2u);
}

// Guards against applying a delta to the wrong base: another version, or the same version number of
// another history.
TEST_F (ConfigCache, DeltaNeedsItsBase)
{
  config_cache_t *other_cache = config_cache_new (&small_options);
  ASSERT_TRUE (receive (entry_cache, answer_fetch (control_cache, entry_cache)));
  apply_and_install (team_patch ("t100", 5));
  ASSERT_TRUE (receive (other_cache, answer_fetch (control_cache, other_cache)));
  apply_and_install (team_patch ("t100", 6));
  std::string delta = answer_fetch (control_cache, other_cache);
  ASSERT_EQ (message_type (delta), WIRE_CONFIG_DELTA);
  anv_error_t err = {};
  EXPECT_FALSE (receive (entry_cache, delta, &err));
  EXPECT_EQ (err.code, VERSION_ERROR_BASE);
  EXPECT_EQ (config_cache_version (entry_cache), 1u);

  // A second history with the same version numbers.
  version_store_t *forked_store = version_store_new ();
  config_cache_t *forked_cache = config_cache_new (&small_options);
  apply_patch (forked_store, 0, "x", "{}");
  apply_patch (forked_store, 1, "y", "{}");
  version_seal_t seal = version_store_seal (forked_store);
  ASSERT_TRUE (
      config_cache_install (forked_cache, &seal, version_store_doc (forked_store), nullptr));
  EXPECT_FALSE (receive (forked_cache, delta, &err));
  EXPECT_EQ (err.code, VERSION_ERROR_BASE);
  EXPECT_EQ (message_type (answer_fetch (control_cache, forked_cache)), WIRE_CONFIG_FULL);
  EXPECT_FALSE (receive (forked_cache, answer_fetch (control_cache, forked_cache), &err));
  EXPECT_STREQ (err.text, "version 3 does not follow from the installed version");
  config_announcement_t same_version
      = { 2, version_record_make_seal (version_store_record (store, 2),
                                       &version_store_record (store, 1)->digest)
                 .document_digest };
  EXPECT_EQ (config_cache_check_announcement (forked_cache, &same_version), CONFIG_PEER_CONFLICTS);
  config_cache_free (forked_cache);
  config_cache_free (other_cache);
  version_store_free (forked_store);
}

// Guards against a partial install: a full message and a delta are changed at every byte and
// truncated at every length; the installed version must stay unchanged.
TEST_F (ConfigCache, DamagedMessagesInstallNothing)
{
  std::string full = answer_fetch (control_cache, entry_cache);
  config_cache_t *peer_cache = config_cache_new (&small_options);
  ASSERT_TRUE (receive (peer_cache, full));
  apply_and_install (team_patch ("t100", 5));
  apply_and_install (
      "{'teams':{'t299':null,'u':{'rate':1,'burst':2}},'team_default':{'rate':1,'burst':1}}");
  std::string delta = answer_fetch (control_cache, peer_cache);
  ASSERT_EQ (message_type (delta), WIRE_CONFIG_DELTA);
  std::string text_before = installed_text (peer_cache);
  for (const std::string &message : { full, delta })
    for (size_t i = 0; i < message.size (); i++)
      {
        std::string damaged = message;
        damaged[i] ^= 0x21;
        anv_error_t err = {};
        EXPECT_FALSE (receive (entry_cache, damaged, &err)) << i;
        EXPECT_EQ (err.domain, ANV_ERROR_VERSION);
        EXPECT_FALSE (receive (peer_cache, damaged)) << i;
        EXPECT_FALSE (receive (peer_cache, message.substr (0, i)));
      }
  EXPECT_EQ (config_cache_doc (entry_cache), nullptr);
  EXPECT_EQ (config_cache_version (entry_cache), 0u);
  EXPECT_TRUE (installed_text (peer_cache) == text_before);
  EXPECT_TRUE (receive (peer_cache, delta));
  EXPECT_TRUE (installed_text (peer_cache) == installed_text (control_cache));
  config_cache_free (peer_cache);
}

// Guards against fetching from a peer that has nothing newer, and against installing a document
// that differs from what other peers announce for its version.
TEST_F (ConfigCache, AnnouncementsDecideWhatToFetch)
{
  config_announcement_t list[] = { { 0, {} }, { 3, {} }, { 7, {} }, { 7, {} }, { 5, {} } };
  EXPECT_EQ (config_cache_choose_newest (control_cache, list, 5), 2u);
  EXPECT_EQ (config_cache_choose_newest (control_cache, list, 1), 1u);
  EXPECT_EQ (config_cache_check_announcement (control_cache, &list[0]), CONFIG_PEER_NOT_NEWER);
  EXPECT_EQ (config_cache_check_announcement (control_cache, &list[1]), CONFIG_PEER_NEWER);

  config_announcement_t wrong_digest = { 1, {} };
  EXPECT_EQ (config_cache_check_announcement (entry_cache, &wrong_digest), CONFIG_PEER_NEWER);
  anv_error_t err = {};
  EXPECT_FALSE (receive (entry_cache, answer_fetch (control_cache, entry_cache), &err));
  EXPECT_STREQ (err.text, "version 1 has another digest than announced");
  config_announcement_t right_digest = { 1, config_cache_digest (control_cache) };
  EXPECT_EQ (config_cache_check_announcement (entry_cache, &right_digest), CONFIG_PEER_NEWER);
  EXPECT_TRUE (receive (entry_cache, answer_fetch (control_cache, entry_cache)));
  EXPECT_EQ (config_cache_check_announcement (entry_cache, &right_digest), CONFIG_PEER_NOT_NEWER);
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
  config_cache_t *peer_cache = config_cache_new (&options);
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
      std::string message = answer_fetch (cache, peer_cache);
      EXPECT_TRUE (receive (peer_cache, message));
      EXPECT_TRUE (version == 1 || message.size () < 288000u) << message.size ();
    }
  route_table_t *table = route_table_new (config_cache_doc (peer_cache), nullptr);
  size_t peak = 2 * config_cache_memory_bytes (peer_cache) + route_table_memory_bytes (table);
  EXPECT_LT (peak, 128000000u);
  route_table_free (table);
  config_cache_free (peer_cache);
  config_cache_free (cache);
}

// Guards against edits that do not turn the first text into the second. Seed 5, 5,000 pairs of
// random documents.
TEST (ConfigEdit, AppliedDiffGivesTheSecondText)
{
  rng_t rng;
  rng_init (&rng, 5);
  auto random_document = [&rng] () {
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
        if (rng_uniform_int (&rng, 3) > 0)
          members[std::string (key) == "\\n" ? "\n" : key] = values[rng_uniform_int (&rng, 7)];
      }
    std::string text = "{";
    for (const auto &[key, value] : members)
      text += (text.size () > 1 ? ",\"" : "\"") + (key == "\n" ? "\\n" : key) + "\":" + value;
    return text + "}";
  };
  for (int i = 0; i < 5000; i++)
    {
      std::string from = random_document ();
      std::string to = random_document ();
      GByteArray *edits = g_byte_array_new ();
      config_edit_diff ({ from.data (), from.size () }, { to.data (), to.size () }, edits);
      g_autoptr (GBytes) base = g_bytes_new (from.data (), from.size ());
      GBytes *result = config_edit_apply (base, edits->data, edits->len, nullptr);
      ASSERT_NE (result, nullptr);
      EXPECT_EQ (take_bytes_text (result), to) << from;
      EXPECT_TRUE (from != to || edits->len == 0);
      g_byte_array_free (edits, TRUE);
    }
}

// Guards against a rollout table that exceeds its maximum size, or does not count instances that
// are behind.
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
  EXPECT_EQ (text, double_quoted ("[{'instance':'e1','seen_ms':3000,'since_ms':1000,'version':4},"
                                  "{'instance':'e3','seen_ms':5000,'since_ms':5000,'version':2},"
                                  "{'instance':'e4','seen_ms':4000,'since_ms':4000,'version':6}]"));
  cJSON_Delete (list);
  rollout_remove (&rollout, "e3");
  EXPECT_EQ (rollout_summarize (&rollout, 1).lowest, 4u);
  rollout_destroy (&rollout);
}
