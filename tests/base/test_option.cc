#include <gtest/gtest.h>

#include <cstdlib>
#include <vector>

#include <glib.h>

extern "C"
{
#include "option.h"
}

namespace
{
char *listen_address;
int64_t limit_ms;
bool verbose;
GPtrArray *peers;
int64_t mode;
const char *const modes[] = { "reject", "single", nullptr };

const option_t options[] = {
  { "listen", OPTION_ADDRESS, &listen_address, "127.0.0.1:8080", 0, 0, nullptr, false, "ADDRESS",
    "Address" },
  { "limit-ms", OPTION_INTEGER, &limit_ms, "500", 1, 1000, nullptr, false, "MS", "Limit" },
  { "verbose", OPTION_BOOL, &verbose, "false", 0, 0, nullptr, false, nullptr, "Verbose" },
  { "peer", OPTION_ADDRESS_LIST, &peers, nullptr, 0, 0, nullptr, false, "ADDRESS", "Peer" },
  { "mode", OPTION_ENUM, &mode, "reject", 0, 0, modes, false, "MODE", "Mode" },
  { nullptr, OPTION_STRING, nullptr, nullptr, 0, 0, nullptr, false, nullptr, nullptr },
};
const option_table_t option_table = { "test", "Test program.", nullptr, options };

bool
parse (std::vector<const char *> arguments, anv_error_t *err)
{
  option_result_t result;
  arguments.insert (arguments.begin (), "test");
  arguments.push_back (nullptr);
  bool ok = option_parse (&option_table, (int)arguments.size () - 1, (char **)arguments.data (),
                          &result, err);
  return ok;
}

class Option : public ::testing::Test
{
protected:
  void
  TearDown () override
  {
    unsetenv ("ANVILLB_LIMIT_MS");
    unsetenv ("ANVILLB_PEER");
    option_free (&option_table);
  }
};
}

// Guards against a wrong order of precedence between default, environment and flag.
TEST_F (Option, FlagOverridesEnvironment)
{
  anv_error_t err = {};
  setenv ("ANVILLB_LIMIT_MS", "20", 1);
  setenv ("ANVILLB_PEER", "127.0.0.1:1,127.0.0.1:2", 1);
  ASSERT_TRUE (parse ({}, &err)) << err.text;
  EXPECT_EQ (limit_ms, 20);
  EXPECT_EQ (peers->len, 2u);
  ASSERT_TRUE (
      parse ({ "--limit-ms=30", "--peer=127.0.0.1:9", "--peer=[::1]:8", "--mode=single" }, &err))
      << err.text;
  EXPECT_EQ (limit_ms, 30);
  ASSERT_EQ (peers->len, 2u);
  EXPECT_STREQ ((const char *)g_ptr_array_index (peers, 1), "[::1]:8");
  EXPECT_EQ (mode, 1);
}

// Guards against settings that are accepted although they are out of range or malformed, and
// against an error that does not name the setting.
TEST_F (Option, InvalidValueErrorNamesTheSetting)
{
  anv_error_t err = {};
  EXPECT_FALSE (parse ({ "--limit-ms=1001" }, &err));
  EXPECT_STREQ (err.text,
                "--limit-ms: value '1001' is not allowed: expected an integer from 1 to 1000");
  EXPECT_FALSE (parse ({ "--listen=localhost:80" }, &err));
  EXPECT_STREQ (
      err.text,
      "--listen: value 'localhost:80' is not allowed: expected IP:PORT with a numeric address");
  EXPECT_FALSE (parse ({ "--mode=both" }, &err));
  EXPECT_STREQ (err.text, "--mode: value 'both' is not allowed: expected one of reject, single");
  setenv ("ANVILLB_LIMIT_MS", "abc", 1);
  EXPECT_FALSE (parse ({}, &err));
  EXPECT_STREQ (err.text,
                "ANVILLB_LIMIT_MS: value 'abc' is not allowed: expected an integer from 1 to 1000");
}

// Guards against treating a public address as loopback, which would allow it without TLS.
TEST_F (Option, PublicAddressIsNotLoopback)
{
  EXPECT_TRUE (option_address_is_loopback ("127.0.0.9:80"));
  EXPECT_TRUE (option_address_is_loopback ("[::1]:80"));
  EXPECT_FALSE (option_address_is_loopback ("0.0.0.0:80"));
  EXPECT_FALSE (option_address_is_loopback ("10.0.0.1:80"));
}
