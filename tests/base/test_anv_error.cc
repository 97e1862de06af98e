#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "anv_error.h"
}

// Guards against losing the cause when a layer wraps the error of the layer below.
TEST (AnvError, WrapKeepsTheTextOfTheCause)
{
  anv_error_t err = {};
  anv_error_set (&err, ANV_ERROR_STORAGE, 3, "sync of %s failed", "log-1");
  anv_error_wrap (&err, ANV_ERROR_RAFT, 7, "cannot append entry %d", 12);
  EXPECT_EQ (err.domain, ANV_ERROR_RAFT);
  EXPECT_EQ (err.code, 7);
  EXPECT_STREQ (err.text, "cannot append entry 12: sync of log-1 failed");
}

// Guards against a write past the end of the text buffer when a message is very long.
TEST (AnvError, LongTextIsTruncated)
{
  anv_error_t err = {};
  std::string text (4000, 'x');
  anv_error_set (&err, ANV_ERROR_HTTP, 1, "%s", text.c_str ());
  EXPECT_EQ (std::string (err.text).size (), ANV_ERROR_TEXT_SIZE - 1u);
  anv_error_wrap (&err, ANV_ERROR_LINK, 1, "%s", text.c_str ());
  EXPECT_EQ (std::string (err.text).size (), ANV_ERROR_TEXT_SIZE - 1u);
}

// Guards against a crash in callers that pass no error struct.
TEST (AnvError, NullIsAccepted)
{
  anv_error_set (nullptr, ANV_ERROR_HTTP, 1, "ignored");
  anv_error_wrap (nullptr, ANV_ERROR_HTTP, 1, "ignored");
  anv_error_clear (nullptr);
  EXPECT_FALSE (anv_error_is_set (nullptr));
}
