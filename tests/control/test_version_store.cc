#include "version_fixture.h"

#include <map>
#include <vector>

extern "C"
{
#include "rng.h"
}

namespace
{
class VersionStore : public ::testing::Test
{
protected:
  version_store_t *store = version_store_new ();

  void
  TearDown () override
  {
    version_store_free (store);
  }

  // Saves and restores the store, as a member does that starts from a snapshot.
  void
  save_and_restore ()
  {
    anv_error_t err = {};
    version_store_t *restored = restore_snapshot (save_snapshot (store), &err);
    ASSERT_NE (restored, nullptr) << err.text;
    version_store_free (store);
    store = restored;
  }
};
}

// Guards against a second version, or another result, when an operator resends a command after a
// lost reply: at once, from a leader with another clock, and after many changes and a restart.
TEST_F (VersionStore, ResendGivesTheFirstNumber)
{
  EXPECT_EQ (apply_patch (store, 0, "p1", team_patch ("a", 1)).outcome, VERSION_ACCEPTED);
  version_result_t resend_result
      = apply_patch (store, 0, "p1", " { 'teams': { 'a': { 'burst': 9, 'rate': 1.0 } } } ", "anna",
                     "because", START_MS + 5000);
  EXPECT_EQ (resend_result.outcome, VERSION_REPEATED);
  EXPECT_EQ (resend_result.version, 1u);
  for (int i = 2; i <= 500; i++)
    ASSERT_EQ (apply_patch (store, i - 1, "p" + std::to_string (i), team_patch ("a", i)).version,
               (uint64_t)i);
  save_and_restore ();
  resend_result = apply_patch (store, 0, "p1", team_patch ("a", 1));
  EXPECT_EQ (resend_result.outcome, VERSION_REPEATED);
  EXPECT_EQ (resend_result.version, 1u);
  EXPECT_EQ (resend_result.current, 500u);
  EXPECT_EQ (digest_text (resend_result.digest),
             digest_text (version_store_record (store, 1)->digest));
}

// Guards against a patch that silently overwrites another one that was made on the same base.
TEST_F (VersionStore, SecondOperatorOnTheSameBaseIsStale)
{
  EXPECT_EQ (apply_patch (store, 0, "anna-1", team_patch ("a", 1), "anna").version, 1u);
  version_result_t stale_result = apply_patch (store, 0, "ben-1", team_patch ("a", 2), "ben");
  EXPECT_EQ (stale_result.outcome, VERSION_STALE);
  EXPECT_EQ (stale_result.current, 1u);
  EXPECT_EQ (apply_patch (store, 7, "ben-2", team_patch ("a", 2), "ben").outcome, VERSION_STALE);
  EXPECT_EQ (apply_patch (store, 1, "ben-1", team_patch ("a", 2), "ben").version, 2u);
}

// Guards against confirming a change that was never made: the same patch_id with other content.
TEST_F (VersionStore, SameIdWithOtherContentIsAConflict)
{
  apply_patch (store, 0, "p1", team_patch ("a", 1));
  EXPECT_EQ (apply_patch (store, 0, "p1", team_patch ("a", 2)).outcome, VERSION_CONFLICT);
  EXPECT_EQ (apply_patch (store, 1, "p1", team_patch ("a", 1)).outcome, VERSION_CONFLICT);
  EXPECT_EQ (apply_patch (store, 0, "p1", team_patch ("a", 1), "ben").outcome, VERSION_CONFLICT);
  version_result_t result = apply_patch (store, 0, "p1", team_patch ("a", 1), "anna", "other");
  EXPECT_EQ (result.outcome, VERSION_CONFLICT);
  EXPECT_STREQ (result.text, "patch_id: belongs to version 1, which has other content");
  EXPECT_EQ (version_store_current_version (store), 1u);
}

// Guards against accepting an invalid document, and a rejected command that changes the state.
TEST_F (VersionStore, InvalidCommandsAreRefusedWithPathAndRule)
{
  apply_patch (store, 0, "p1",
               "{'services':{'s':{'hosts':['h']}},'routes':{'r':{'service':'s','prefix':"
               "'/','methods':['GET'],'class':'urgent','idempotent':true}}}");
  std::string before = save_snapshot (store);
  const std::string nested_arrays = std::string (200, '[') + std::string (200, ']');
  const std::pair<std::string, const char *> cases[] = {
    { "{'services':{'s':null}}", "$.routes.r.service: names no service" },
    { "{'teams':{'t':{'rate':-1,'burst':1}}}", "$.teams.t.rate: must be from 0.001 to 1000000" },
    { "{'teams':{'t':1e999}}", "$.teams.t: must be an object" },
    { "{'teams':" + nested_arrays + "}", "patch: nested too deeply" },
    { "{'teams':{},'teams':{}}", "patch: duplicate key in an object" },
    { "{'teams':{'a':null,'a\\u0000b':null}}", "patch: duplicate key in an object" },
    { "[]", "patch: must be an object" },
    { "{} {}", "patch: text after the JSON value" },
    { "", "patch: not valid JSON" },
  };
  for (const auto &[patch, text] : cases)
    {
      version_result_t result = apply_patch (store, 1, "p2", patch);
      EXPECT_EQ (result.outcome, VERSION_INVALID) << patch;
      EXPECT_STREQ (result.text, text);
    }
  EXPECT_EQ (apply_patch (store, 1, "", "{}").outcome, VERSION_INVALID);
  EXPECT_EQ (apply_patch (store, 1, "p 2", "{}").outcome, VERSION_INVALID);
  for (const char *text : { "", "a\nversion 9", "a\xe2\x80\xae", "\xff", "a\xc2\x85" })
    {
      EXPECT_EQ (apply_patch (store, 1, "p2", "{}", text).outcome, VERSION_INVALID);
      EXPECT_EQ (apply_patch (store, 1, "p2", "{}", "anna", text).outcome, VERSION_INVALID);
    }
  EXPECT_EQ (save_snapshot (store), before);
  EXPECT_EQ (apply_patch (store, 1, "p2", "{}", "J\xc3\xbcrgen").version, 2u);
}

// Guards against a dry run that changes the state or promises another digest.
TEST_F (VersionStore, PreviewChangesNothing)
{
  std::string before = save_snapshot (store);
  std::string patch = double_quoted (team_patch ("a", 1));
  version_command_t command
      = { 0, "p1", "anna", "because", START_MS, patch.data (), patch.size (), CONFIG_SCHEMA };
  version_result_t preview;
  version_store_preview (store, &command, &preview);
  EXPECT_EQ (preview.outcome, VERSION_ACCEPTED);
  EXPECT_EQ (preview.current, 0u);
  EXPECT_EQ (save_snapshot (store), before);
  EXPECT_EQ (digest_text (apply_patch (store, 0, "p1", team_patch ("a", 1)).digest),
             digest_text (preview.digest));
}

// Guards against encodings that lose or change a field.
TEST_F (VersionStore, EncodingsRoundTrip)
{
  std::string patch = double_quoted (team_patch ("a", 1));
  version_command_t command
      = { 3, "p1", "anna", "be\"cause", START_MS, patch.data (), patch.size (), CONFIG_SCHEMA };
  std::string data = take_bytes_text (version_command_encode (&command));
  version_command_reader_t reader = {};
  ASSERT_TRUE (
      version_command_decode (&reader, (const uint8_t *)data.data (), data.size (), nullptr));
  EXPECT_EQ (take_bytes_text (version_command_encode (&reader.command)), data);
  version_command_release (&reader);
  EXPECT_FALSE (version_command_decode (&reader, (const uint8_t *)data.data (), 7, nullptr));
  version_command_release (&reader);

  version_result_t result = apply_patch (store, 0, "p1", "{}", "anna", "be\"cause");
  version_result_t decoded;
  data = take_bytes_text (version_result_encode (&result));
  ASSERT_TRUE (
      version_result_decode (&decoded, (const uint8_t *)data.data (), data.size (), nullptr));
  EXPECT_EQ (take_bytes_text (version_result_encode (&decoded)), data);

  cJSON *object = version_record_to_json (version_store_record (store, 1));
  version_record_t *record = version_record_from_json (object, nullptr);
  ASSERT_NE (record, nullptr);
  EXPECT_EQ (take_bytes_text (version_record_encode (record)),
             take_bytes_text (version_record_encode (version_store_record (store, 1))));
  version_record_free (record);
  cJSON_ReplaceItemInObject (object, "digest", cJSON_CreateString ("00"));
  EXPECT_EQ (version_record_from_json (object, nullptr), nullptr);
  cJSON_Delete (object);
}

// Guards against a digest that standard tools cannot recompute. The expected values come from
// sha256sum over the lines that version_record.h describes.
TEST_F (VersionStore, DigestIsAsDocumented)
{
  apply_patch (store, 0, "p1", "{}");
  EXPECT_EQ (digest_text (version_store_record (store, 1)->document_digest),
             "44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a");
  EXPECT_EQ (digest_text (version_store_digest (store)),
             "ecbc762763a0417b09f56b609c2fc06cadd749b24ab6c358618e61f35b11122f");
}

// Guards against restoring damaged history: a snapshot is changed at every byte and truncated at
// every length.
TEST_F (VersionStore, DamagedSnapshotIsRefused)
{
  for (int i = 1; i <= 70; i++)
    apply_patch (store, i - 1, "p" + std::to_string (i),
                 team_patch ("t" + std::to_string (i % 7), i));
  std::string data = save_snapshot (store);
  for (size_t i = 0; i < data.size (); i++)
    {
      std::string damaged = data;
      damaged[i] ^= 0x11;
      anv_error_t err = {};
      version_store_t *restored = restore_snapshot (damaged, &err);
      EXPECT_EQ (restored, nullptr) << "byte " << i;
      EXPECT_EQ (err.domain, ANV_ERROR_VERSION);
      version_store_free (restored);
      EXPECT_EQ (restore_snapshot (data.substr (0, i), nullptr), nullptr);
    }
}

// Guards against past documents that cannot be rebuilt, and against deleting old records.
TEST_F (VersionStore, EveryPastDocumentIsRebuilt)
{
  std::vector<std::string> texts = { "{}" };
  for (int i = 1; i <= 300; i++)
    {
      std::string patch
          = i % 50 == 0 ? "{'teams':null}" : team_patch ("t" + std::to_string (i % 13), i);
      ASSERT_EQ (apply_patch (store, i - 1, "p" + std::to_string (i), patch).outcome,
                 VERSION_ACCEPTED);
      texts.push_back (take_bytes_text (g_bytes_ref (config_doc_text (version_store_doc (store)))));
    }
  save_and_restore ();
  for (int i = 300; i >= 0; i -= 7)
    {
      anv_error_t err = {};
      GBytes *text = version_store_rebuild_document (store, i, &err);
      ASSERT_NE (text, nullptr) << err.text;
      EXPECT_EQ (take_bytes_text (text), texts[i]) << i;
    }
  EXPECT_EQ (version_store_rebuild_document (store, 301, nullptr), nullptr);
}

// Guards against members whose state differs after the same commands, versions that are assigned
// twice or skipped, and resent commands that get another version. Operators race on the same base
// and resend earlier commands, as after lost replies, in part with another patch, while one of two
// members restarts from snapshots. Seeds 1 to 20, 400 commands each.
TEST (VersionStoreRandom, OperatorsAndResends)
{
  struct command_t
  {
    uint64_t base;
    std::string id, patch, operator_name;
  };
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      rng_t rng;
      rng_init (&rng, seed);
      version_store_t *first = version_store_new ();
      version_store_t *second = version_store_new ();
      std::vector<command_t> sent_commands;
      std::map<std::string, std::pair<uint64_t, std::string> > accepted;
      uint64_t expected_version = 0;
      for (int i = 0; i < 400; i++)
        {
          command_t command;
          bool resend = !sent_commands.empty () && rng_uniform_int (&rng, 3) == 0;
          if (resend)
            command = sent_commands[rng_uniform_int (&rng, sent_commands.size ())];
          else
            command = { expected_version
                            - std::min<uint64_t> (expected_version, rng_uniform_int (&rng, 2)),
                        "p" + std::to_string (i),
                        team_patch ("t" + std::to_string (rng_uniform_int (&rng, 9)),
                                    (int)rng_uniform_int (&rng, 5)),
                        "op" + std::to_string (rng_uniform_int (&rng, 3)) };
          bool altered = resend && rng_uniform_int (&rng, 4) == 0;
          if (altered)
            command.patch = team_patch ("other", 4);
          else
            sent_commands.push_back (command);

          version_result_t result
              = apply_patch (first, command.base, command.id, command.patch, command.operator_name);
          version_result_t second_result = apply_patch (second, command.base, command.id,
                                                        command.patch, command.operator_name);
          ASSERT_EQ (take_bytes_text (version_result_encode (&result)),
                     take_bytes_text (version_result_encode (&second_result)));
          auto known = accepted.find (command.id);
          if (known != accepted.end ())
            {
              bool same_patch = known->second.second == command.patch;
              ASSERT_EQ (result.outcome, same_patch ? VERSION_REPEATED : VERSION_CONFLICT);
              ASSERT_EQ (result.version, known->second.first);
            }
          else if (result.outcome == VERSION_ACCEPTED)
            {
              ASSERT_EQ (command.base, expected_version);
              ASSERT_EQ (result.version, ++expected_version);
              accepted[command.id] = { expected_version, command.patch };
            }
          else
            ASSERT_TRUE (result.outcome == VERSION_INVALID || command.base != expected_version);
          ASSERT_EQ (result.current, expected_version);

          if (rng_uniform_int (&rng, 40) == 0)
            {
              anv_error_t err = {};
              version_store_t *restored = restore_snapshot (save_snapshot (second), &err);
              ASSERT_NE (restored, nullptr) << err.text;
              version_store_free (second);
              second = restored;
            }
        }
      EXPECT_GT (expected_version, 50u);
      EXPECT_EQ (save_snapshot (first), save_snapshot (second)) << seed;
      version_store_free (first);
      version_store_free (second);
    }
}
