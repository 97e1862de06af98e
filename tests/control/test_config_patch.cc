#include <gtest/gtest.h>

#include <algorithm>
#include <string>

extern "C"
{
#include "config_patch.h"
#include "rng.h"
}

namespace
{
// Returns TEXT with double quotes in place of single quotes, which keep test documents readable.
std::string
double_quoted (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

cJSON *
parse_json (const std::string &text)
{
  cJSON *value = json_parse (text.data (), text.size (), nullptr);
  EXPECT_NE (value, nullptr) << text;
  return value;
}

std::string
canonical_text (const cJSON *value)
{
  g_autofree char *text = json_print_canonical (value);
  return text;
}

// Applies PATCH to the parsed TARGET and returns the canonical text of the result.
std::string
apply_parsed (const std::string &target, const std::string &patch)
{
  cJSON *parsed_patch = parse_json (patch);
  cJSON *result = config_patch_apply (parse_json (target), parsed_patch);
  std::string text = canonical_text (result);
  cJSON_Delete (parsed_patch);
  cJSON_Delete (result);
  return text;
}

// Applies PATCH to the canonical text of TARGET and returns the resulting text.
std::string
apply_as_text (const std::string &target, const std::string &patch)
{
  cJSON *parsed_target = parse_json (target);
  cJSON *parsed_patch = parse_json (patch);
  std::string text = canonical_text (parsed_target);
  GString *out = g_string_new (nullptr);
  EXPECT_TRUE (config_patch_apply_text ({ text.data (), text.size () }, parsed_patch, out));
  std::string result (out->str);
  g_string_free (out, TRUE);
  cJSON_Delete (parsed_target);
  cJSON_Delete (parsed_patch);
  return result;
}

cJSON *
random_value (rng_t *rng, int depth, bool with_null)
{
  uint64_t kind = rng_uniform_int (rng, depth > 0 ? 8 : 4);
  if (kind == 0 && with_null)
    return cJSON_CreateNull ();
  if (kind < 3)
    return cJSON_CreateNumber ((double)rng_uniform_int (rng, 4));
  if (kind == 3)
    return cJSON_CreateString ("\"\n\xc3\xa4");
  if (kind == 4)
    return cJSON_CreateArray ();
  const char *keys[] = { "a", "b", "c\"", "\n", "\xc3\xa4", "" };
  cJSON *object = cJSON_CreateObject ();
  for (const char *key : keys)
    {
      if (rng_uniform_int (rng, 2) == 0)
        cJSON_AddItemToObject (object, key, random_value (rng, depth - 1, with_null));
    }
  return object;
}
}

// Guards against deviations from RFC 7386. The cases are the examples of its appendix A.
TEST (ConfigPatch, ExamplesOfRfc7386)
{
  const char *cases[][3] = {
    { "{'a':'b'}", "{'a':'c'}", "{'a':'c'}" },
    { "{'a':'b'}", "{'b':'c'}", "{'a':'b','b':'c'}" },
    { "{'a':'b'}", "{'a':null}", "{}" },
    { "{'a':'b','b':'c'}", "{'a':null}", "{'b':'c'}" },
    { "{'a':['b']}", "{'a':'c'}", "{'a':'c'}" },
    { "{'a':'c'}", "{'a':['b']}", "{'a':['b']}" },
    { "{'a':{'b':'c'}}", "{'a':{'b':'d','c':null}}", "{'a':{'b':'d'}}" },
    { "{'a':[{'b':'c'}]}", "{'a':[1]}", "{'a':[1]}" },
    { "['a','b']", "['c','d']", "['c','d']" },
    { "{'a':'b'}", "['c']", "['c']" },
    { "{'a':'foo'}", "null", "null" },
    { "{'a':'foo'}", "'bar'", "'bar'" },
    { "{'e':null}", "{'a':1}", "{'a':1,'e':null}" },
    { "[1,2]", "{'a':'b','c':null}", "{'a':'b'}" },
    { "{}", "{'a':{'bb':{'ccc':null}}}", "{'a':{'bb':{}}}" },
  };
  for (const auto &example : cases)
    {
      EXPECT_EQ (apply_parsed (double_quoted (example[0]), double_quoted (example[1])),
                 double_quoted (example[2]))
          << example[1];
      EXPECT_EQ (apply_as_text (double_quoted (example[0]), double_quoted (example[1])),
                 double_quoted (example[2]))
          << example[1];
    }
}

// Guards against a difference between config_patch_apply() and config_patch_apply_text(), which
// would give members of the group different digests, and against a diff that does not turn the
// first document into the second. Seed 11.
TEST (ConfigPatch, BothWaysToApplyAndDiffAgree)
{
  rng_t rng;
  rng_init (&rng, 11);
  for (int i = 0; i < 3000; i++)
    {
      cJSON *from = random_value (&rng, 4, false);
      cJSON *to = random_value (&rng, 4, false);
      cJSON *patch = random_value (&rng, 4, true);
      std::string from_text = canonical_text (from);
      std::string to_text = canonical_text (to);
      std::string patch_text = canonical_text (patch);
      EXPECT_EQ (apply_parsed (from_text, patch_text), apply_as_text (from_text, patch_text))
          << patch_text;

      cJSON *diff = config_patch_diff (from, to);
      EXPECT_EQ (apply_parsed (from_text, canonical_text (diff)), to_text) << canonical_text (diff);
      bool equal = from_text == to_text && cJSON_IsObject (from);
      EXPECT_TRUE (!equal || canonical_text (diff) == "{}");
      for (cJSON *value : { from, to, patch, diff })
        cJSON_Delete (value);
    }
}

// Guards against applying a patch to text that is not canonical, which would give a wrong result
// without an error.
TEST (ConfigPatch, RefusesTextThatIsNotCanonical)
{
  cJSON *patch = parse_json (double_quoted ("{'b':1}"));
  for (const char *text : { "{\"a\":1", "{\"a\":1}x", "{\"a\" :1}", "{\"a\":1,}", "{a:1}" })
    {
      GString *out = g_string_new (nullptr);
      EXPECT_FALSE (config_patch_apply_text ({ text, strlen (text) }, patch, out)) << text;
      g_string_free (out, TRUE);
    }
  cJSON_Delete (patch);
}
