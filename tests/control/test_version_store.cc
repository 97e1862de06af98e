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
  restart ()
  {
    anv_error_t err = {};
    version_store_t *restored = restore (snapshot (store), &err);
    ASSERT_NE (restored, nullptr) << err.text;
    version_store_free (store);
    store = restored;
  }
};
}

// Guards against a second version, or another answer, when an operator resends after a lost reply:
// at once, from a leader with another clock, and after a restart with many changes in between.
TEST_F (VersionStore, ResendGivesTheFirstNumber)
{
  EXPECT_EQ (apply (store, 0, "p1", team_patch ("a", 1)).outcome, VERSION_ACCEPTED);
  version_result_t again
      = apply (store, 0, "p1", " { 'teams': { 'a': { 'burst': 9, 'rate': 1.0 } } } ", "anna",
               "because", START_MS + 5000);
  EXPECT_EQ (again.outcome, VERSION_REPEATED);
  EXPECT_EQ (again.version, 1u);
  for (int i = 2; i <= 500; i++)
    ASSERT_EQ (apply (store, i - 1, "p" + std::to_string (i), team_patch ("a", i)).version,
               (uint64_t)i);
  restart ();
  again = apply (store, 0, "p1", team_patch ("a", 1));
  EXPECT_EQ (again.outcome, VERSION_REPEATED);
  EXPECT_EQ (again.version, 1u);
  EXPECT_EQ (again.current, 500u);
  EXPECT_EQ (digest_text (again.digest), digest_text (version_store_record (store, 1)->digest));
}

// Guards against one of two concurrent patches overwriting the other unseen.
TEST_F (VersionStore, SecondOperatorOnTheSameBaseIsStale)
{
  EXPECT_EQ (apply (store, 0, "anna-1", team_patch ("a", 1), "anna").version, 1u);
  version_result_t late = apply (store, 0, "ben-1", team_patch ("a", 2), "ben");
  EXPECT_EQ (late.outcome, VERSION_STALE);
  EXPECT_EQ (late.current, 1u);
  EXPECT_EQ (apply (store, 7, "ben-2", team_patch ("a", 2), "ben").outcome, VERSION_STALE);
  EXPECT_EQ (apply (store, 1, "ben-1", team_patch ("a", 2), "ben").version, 2u);
}

// Guards against a reply that confirms a change that was never made: the same id with other
// content.
TEST_F (VersionStore, SameIdWithOtherContentIsAConflict)
{
  apply (store, 0, "p1", team_patch ("a", 1));
  EXPECT_EQ (apply (store, 0, "p1", team_patch ("a", 2)).outcome, VERSION_CONFLICT);
  EXPECT_EQ (apply (store, 1, "p1", team_patch ("a", 1)).outcome, VERSION_CONFLICT);
  EXPECT_EQ (apply (store, 0, "p1", team_patch ("a", 1), "ben").outcome, VERSION_CONFLICT);
  version_result_t result = apply (store, 0, "p1", team_patch ("a", 1), "anna", "other");
  EXPECT_EQ (result.outcome, VERSION_CONFLICT);
  EXPECT_STREQ (result.text, "patch_id: belongs to version 1, which has other content");
  EXPECT_EQ (version_store_current_version (store), 1u);
}

// Guards against a broken document in force, and against a rejected command that leaves a trace.
TEST_F (VersionStore, InvalidCommandsAreRefusedWithPathAndRule)
{
  apply (store, 0, "p1",
         "{'services':{'s':{'hosts':['h']}},'routes':{'r':{'service':'s','prefix':"
         "'/','methods':['GET'],'class':'urgent','idempotent':true}}}");
  std::string before = snapshot (store);
  const std::string deep = std::string (200, '[') + std::string (200, ']');
  const std::pair<std::string, const char *> cases[] = {
    { "{'services':{'s':null}}", "$.routes.r.service: names no service" },
    { "{'teams':{'t':{'rate':-1,'burst':1}}}", "$.teams.t.rate: must be from 0.001 to 1000000" },
    { "{'teams':{'t':1e999}}", "$.teams.t: must be an object" },
    { "{'teams':" + deep + "}", "patch: nested too deeply" },
    { "{'teams':{},'teams':{}}", "patch: duplicate key in an object" },
    { "{'teams':{'a':null,'a\\u0000b':null}}", "patch: duplicate key in an object" },
    { "[]", "patch: must be an object" },
    { "{} {}", "patch: text after the JSON value" },
    { "", "patch: not valid JSON" },
  };
  for (const auto &[patch, text] : cases)
    {
      version_result_t result = apply (store, 1, "p2", patch);
      EXPECT_EQ (result.outcome, VERSION_INVALID) << patch;
      EXPECT_STREQ (result.text, text);
    }
  EXPECT_EQ (apply (store, 1, "", "{}").outcome, VERSION_INVALID);
  EXPECT_EQ (apply (store, 1, "p 2", "{}").outcome, VERSION_INVALID);
  for (const char *text : { "", "a\nversion 9", "a\xe2\x80\xae", "\xff", "a\xc2\x85" })
    {
      EXPECT_EQ (apply (store, 1, "p2", "{}", text).outcome, VERSION_INVALID);
      EXPECT_EQ (apply (store, 1, "p2", "{}", "anna", text).outcome, VERSION_INVALID);
    }
  EXPECT_EQ (snapshot (store), before);
  EXPECT_EQ (apply (store, 1, "p2", "{}", "J\xc3\xbcrgen").version, 2u);
}

// Guards against a dry run that changes the state or promises another digest.
TEST_F (VersionStore, PreviewChangesNothing)
{
  std::string before = snapshot (store);
  std::string patch = json (team_patch ("a", 1));
  version_command_t command
      = { 0, "p1", "anna", "because", START_MS, patch.data (), patch.size (), CONFIG_SCHEMA };
  version_result_t preview;
  version_store_preview (store, &command, &preview);
  EXPECT_EQ (preview.outcome, VERSION_ACCEPTED);
  EXPECT_EQ (preview.current, 0u);
  EXPECT_EQ (snapshot (store), before);
  EXPECT_EQ (digest_text (apply (store, 0, "p1", team_patch ("a", 1)).digest),
             digest_text (preview.digest));
}

// Guards against encodings that lose or change a field.
TEST_F (VersionStore, EncodingsRoundTrip)
{
  std::string patch = json (team_patch ("a", 1));
  version_command_t command
      = { 3, "p1", "anna", "be\"cause", START_MS, patch.data (), patch.size (), CONFIG_SCHEMA };
  std::string data = bytes_text (version_command_encode (&command));
  version_command_reader_t reader = {};
  ASSERT_TRUE (
      version_command_decode (&reader, (const uint8_t *)data.data (), data.size (), nullptr));
  EXPECT_EQ (bytes_text (version_command_encode (&reader.command)), data);
  version_command_release (&reader);
  EXPECT_FALSE (version_command_decode (&reader, (const uint8_t *)data.data (), 7, nullptr));
  version_command_release (&reader);

  version_result_t result = apply (store, 0, "p1", "{}", "anna", "be\"cause");
  version_result_t decoded;
  data = bytes_text (version_result_encode (&result));
  ASSERT_TRUE (
      version_result_decode (&decoded, (const uint8_t *)data.data (), data.size (), nullptr));
  EXPECT_EQ (bytes_text (version_result_encode (&decoded)), data);

  cJSON *object = version_record_to_json (version_store_record (store, 1));
  version_record_t *record = version_record_from_json (object, nullptr);
  ASSERT_NE (record, nullptr);
  EXPECT_EQ (bytes_text (version_record_encode (record)),
             bytes_text (version_record_encode (version_store_record (store, 1))));
  version_record_free (record);
  cJSON_ReplaceItemInObject (object, "digest", cJSON_CreateString ("00"));
  EXPECT_EQ (version_record_from_json (object, nullptr), nullptr);
  cJSON_Delete (object);
}

// Guards against a digest that nobody else can recompute: the figures come from sha256sum over the
// lines that version_record.h states.
TEST_F (VersionStore, DigestIsAsDocumented)
{
  apply (store, 0, "p1", "{}");
  EXPECT_EQ (digest_text (version_store_record (store, 1)->document_digest),
             "44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a");
  EXPECT_EQ (digest_text (version_store_digest (store)),
             "ecbc762763a0417b09f56b609c2fc06cadd749b24ab6c358618e61f35b11122f");
}

// Guards against a restore that accepts damaged history: each byte of a snapshot is changed.
TEST_F (VersionStore, DamagedSnapshotIsRefused)
{
  for (int i = 1; i <= 70; i++)
    apply (store, i - 1, "p" + std::to_string (i), team_patch ("t" + std::to_string (i % 7), i));
  std::string data = snapshot (store);
  for (size_t i = 0; i < data.size (); i++)
    {
      std::string damaged = data;
      damaged[i] ^= 0x11;
      anv_error_t err = {};
      version_store_t *restored = restore (damaged, &err);
      EXPECT_EQ (restored, nullptr) << "byte " << i;
      EXPECT_EQ (err.domain, ANV_ERROR_VERSION);
      version_store_free (restored);
      EXPECT_EQ (restore (data.substr (0, i), nullptr), nullptr);
    }
}

// Guards against past documents that cannot be rebuilt, and against history that is trimmed.
TEST_F (VersionStore, EveryPastDocumentIsRebuilt)
{
  std::vector<std::string> texts = { "{}" };
  for (int i = 1; i <= 300; i++)
    {
      std::string patch
          = i % 50 == 0 ? "{'teams':null}" : team_patch ("t" + std::to_string (i % 13), i);
      ASSERT_EQ (apply (store, i - 1, "p" + std::to_string (i), patch).outcome, VERSION_ACCEPTED);
      texts.push_back (bytes_text (g_bytes_ref (config_doc_text (version_store_doc (store)))));
    }
  restart ();
  for (int i = 300; i >= 0; i -= 7)
    {
      anv_error_t err = {};
      GBytes *text = version_store_document (store, i, &err);
      ASSERT_NE (text, nullptr) << err.text;
      EXPECT_EQ (bytes_text (text), texts[i]) << i;
    }
  EXPECT_EQ (version_store_document (store, 301, nullptr), nullptr);
}

// Guards against members that differ after the same commands, numbers that are given twice or
// skipped, and resends that get another number: operators race, lose replies and resend old
// commands, while one of two members restarts from snapshots. Seeds 1 to 20, 400 commands each.
TEST (VersionStoreRandom, OperatorsAndResends)
{
  struct command_t
  {
    uint64_t base;
    std::string id, patch, who;
  };
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      rng_t rng;
      rng_init (&rng, seed);
      version_store_t *first = version_store_new ();
      version_store_t *second = version_store_new ();
      std::vector<command_t> sent;
      std::map<std::string, std::pair<uint64_t, std::string> > accepted;
      uint64_t expected = 0;
      for (int i = 0; i < 400; i++)
        {
          command_t command;
          bool resend = !sent.empty () && rng_below (&rng, 3) == 0;
          if (resend)
            command = sent[rng_below (&rng, sent.size ())];
          else
            command = { expected - std::min<uint64_t> (expected, rng_below (&rng, 2)),
                        "p" + std::to_string (i),
                        team_patch ("t" + std::to_string (rng_below (&rng, 9)),
                                    (int)rng_below (&rng, 5)),
                        "op" + std::to_string (rng_below (&rng, 3)) };
          bool altered = resend && rng_below (&rng, 4) == 0;
          if (altered)
            command.patch = team_patch ("other", 4);
          else
            sent.push_back (command);

          version_result_t result
              = apply (first, command.base, command.id, command.patch, command.who);
          version_result_t other
              = apply (second, command.base, command.id, command.patch, command.who);
          ASSERT_EQ (bytes_text (version_result_encode (&result)),
                     bytes_text (version_result_encode (&other)));
          auto known = accepted.find (command.id);
          if (known != accepted.end ())
            {
              bool same = known->second.second == command.patch;
              ASSERT_EQ (result.outcome, same ? VERSION_REPEATED : VERSION_CONFLICT);
              ASSERT_EQ (result.version, known->second.first);
            }
          else if (result.outcome == VERSION_ACCEPTED)
            {
              ASSERT_EQ (command.base, expected);
              ASSERT_EQ (result.version, ++expected);
              accepted[command.id] = { expected, command.patch };
            }
          else
            ASSERT_TRUE (result.outcome == VERSION_INVALID || command.base != expected);
          ASSERT_EQ (result.current, expected);

          if (rng_below (&rng, 40) == 0)
            {
              anv_error_t err = {};
              version_store_t *restored = restore (snapshot (second), &err);
              ASSERT_NE (restored, nullptr) << err.text;
              version_store_free (second);
              second = restored;
            }
        }
      EXPECT_GT (expected, 50u);
      EXPECT_EQ (snapshot (first), snapshot (second)) << seed;
      version_store_free (first);
      version_store_free (second);
    }
}
