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
// Replaces single quotes, which stand for double quotes in this file.
std::string
json (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

cJSON *
parse (const std::string &text)
{
  cJSON *value = json_parse (text.data (), text.size (), nullptr);
  EXPECT_NE (value, nullptr) << text;
  return value;
}

std::string
canonical (const cJSON *value)
{
  g_autofree char *text = json_print_canonical (value);
  return text;
}

std::string
merge (const std::string &target, const std::string &patch)
{
  cJSON *change = parse (patch);
  cJSON *result = config_patch_apply (parse (target), change);
  std::string text = canonical (result);
  cJSON_Delete (change);
  cJSON_Delete (result);
  return text;
}

std::string
merge_text (const std::string &target, const std::string &patch)
{
  cJSON *base = parse (target);
  cJSON *change = parse (patch);
  std::string text = canonical (base);
  GString *out = g_string_new (nullptr);
  EXPECT_TRUE (config_patch_apply_text ({ text.data (), text.size () }, change, out));
  std::string result (out->str);
  g_string_free (out, TRUE);
  cJSON_Delete (base);
  cJSON_Delete (change);
  return result;
}

cJSON *
random_value (rng_t *rng, int depth, bool with_null)
{
  uint64_t kind = rng_below (rng, depth > 0 ? 8 : 4);
  if (kind == 0 && with_null)
    return cJSON_CreateNull ();
  if (kind < 3)
    return cJSON_CreateNumber ((double)rng_below (rng, 4));
  if (kind == 3)
    return cJSON_CreateString ("\"\n\xc3\xa4");
  if (kind == 4)
    return cJSON_CreateArray ();
  const char *keys[] = { "a", "b", "c\"", "\n", "\xc3\xa4", "" };
  cJSON *object = cJSON_CreateObject ();
  for (const char *key : keys)
    {
      if (rng_below (rng, 2) == 0)
        cJSON_AddItemToObject (object, key, random_value (rng, depth - 1, with_null));
    }
  return object;
}
}

// Guards against deviations from RFC 7386: the examples of its appendix A.
TEST (ConfigPatch, ExamplesOfTheStandard)
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
  for (const auto &c : cases)
    {
      EXPECT_EQ (merge (json (c[0]), json (c[1])), json (c[2])) << c[1];
      EXPECT_EQ (merge_text (json (c[0]), json (c[1])), json (c[2])) << c[1];
    }
}

// Guards against a difference between the two ways to apply a patch, which would give members
// different digests, and against a diff that does not lead to the second document. Seed 11.
TEST (ConfigPatch, RandomDocuments)
{
  rng_t rng;
  rng_init (&rng, 11);
  for (int i = 0; i < 3000; i++)
    {
      cJSON *from = random_value (&rng, 4, false);
      cJSON *to = random_value (&rng, 4, false);
      cJSON *patch = random_value (&rng, 4, true);
      std::string from_text = canonical (from);
      std::string to_text = canonical (to);
      std::string patch_text = canonical (patch);
      EXPECT_EQ (merge (from_text, patch_text), merge_text (from_text, patch_text)) << patch_text;

      cJSON *diff = config_patch_diff (from, to);
      EXPECT_EQ (merge (from_text, canonical (diff)), to_text) << canonical (diff);
      bool equal = from_text == to_text && cJSON_IsObject (from);
      EXPECT_TRUE (!equal || canonical (diff) == "{}");
      for (cJSON *value : { from, to, patch, diff })
        cJSON_Delete (value);
    }
}

// Guards against following text that is not canonical, which would give a wrong result silently.
TEST (ConfigPatch, RefusesTextThatIsNotCanonical)
{
  cJSON *patch = parse (json ("{'b':1}"));
  for (const char *text : { "{\"a\":1", "{\"a\":1}x", "{\"a\" :1}", "{\"a\":1,}", "{a:1}" })
    {
      GString *out = g_string_new (nullptr);
      EXPECT_FALSE (config_patch_apply_text ({ text, strlen (text) }, patch, out)) << text;
      g_string_free (out, TRUE);
    }
  cJSON_Delete (patch);
}
