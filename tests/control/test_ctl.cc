#include "version_fixture.h"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <vector>

extern "C"
{
#include "ctl_history.h"
#include "ctl_submit.h"
#include "operator_api.h"
}

namespace
{
// Serves the API of a control instance on the loopback interface, in its own thread, and applies
// commands at once. It redirects if it is not the leader, and closes the connection instead of
// sending the next REPLIES_TO_DROP replies.
class ControlServer
{
public:
  operator_api_t api = {};
  version_store_t *store = version_store_new ();
  int replies_to_drop = 0;
  int call_count = 0;
  std::string url;

  ControlServer ()
  {
    static const operator_token_t token = { "secret", nullptr };
    api = { store, nullptr, &token, 1, true, nullptr, propose, this };
    context = g_main_context_new ();
    loop = g_main_loop_new (context, FALSE);
    g_main_context_push_thread_default (context);
    server = soup_server_new (nullptr, nullptr);
    soup_server_add_handler (server, nullptr, handle, this, nullptr);
    soup_server_listen_local (server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
    GSList *uris = soup_server_get_uris (server);
    url = "http://127.0.0.1:" + std::to_string (g_uri_get_port ((GUri *)uris->data));
    g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
    g_main_context_pop_thread_default (context);
    thread = g_thread_new ("server", run, this);
  }

  ~ControlServer ()
  {
    g_main_loop_quit (loop);
    g_thread_join (thread);
    soup_server_disconnect (server);
    g_object_unref (server);
    g_main_loop_unref (loop);
    g_main_context_unref (context);
    version_store_free (store);
  }

private:
  GMainContext *context;
  GMainLoop *loop;
  SoupServer *server;
  GThread *thread;

  static void *
  run (void *data)
  {
    ControlServer *self = (ControlServer *)data;
    g_main_context_push_thread_default (self->context);
    g_main_loop_run (self->loop);
    g_main_context_pop_thread_default (self->context);
    return nullptr;
  }

  static bool
  propose (void *data, GBytes *command, void *tag)
  {
    ControlServer *self = (ControlServer *)data;
    gsize size = 0;
    const uint8_t *bytes = (const uint8_t *)g_bytes_get_data (command, &size);
    version_command_reader_t reader = {};
    EXPECT_TRUE (version_command_decode (&reader, bytes, size, nullptr));
    version_store_apply (self->store, &reader.command, (version_result_t *)tag);
    version_command_release (&reader);
    return true;
  }

  static void
  handle (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
          void *data)
  {
    ControlServer *self = (ControlServer *)data;
    SoupMessageBody *body = soup_server_message_get_request_body (message);
    g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
    operator_request_t request = {
      soup_server_message_get_method (message),
      path,
      g_uri_get_query (soup_server_message_get_uri (message)),
      soup_message_headers_get_one (soup_server_message_get_request_headers (message),
                                    "Authorization"),
      (const char *)g_bytes_get_data (bytes, nullptr),
      g_bytes_get_size (bytes),
    };
    operator_response_t response = {};
    version_result_t result;
    self->call_count++;
    if (!operator_api_handle (&self->api, &request, START_MS, &result, &response))
      operator_api_respond_result (&result, &response);
    if (self->replies_to_drop > 0)
      {
        self->replies_to_drop--;
        g_autoptr (GIOStream) stream = soup_server_message_steal_connection (message);
        g_io_stream_close (stream, nullptr, nullptr);
      }
    else
      {
        if (response.location != nullptr)
          soup_message_headers_replace (soup_server_message_get_response_headers (message),
                                        "Location", response.location);
        soup_server_message_set_status (message, response.status, nullptr);
        soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY,
                                          response.body, strlen (response.body));
      }
    operator_response_clear (&response);
  }
};

// Server that reads one request on each connection, writes RESPONSE and closes.
class RawServer
{
public:
  std::string url;

  explicit RawServer (const std::string &text) : response (text)
  {
    listener = g_socket_listener_new ();
    guint16 port = g_socket_listener_add_any_inet_port (listener, nullptr, nullptr);
    url = "http://127.0.0.1:" + std::to_string (port);
    thread = g_thread_new ("raw", run, this);
  }

  ~RawServer ()
  {
    ended = true;
    std::string address = url.substr (strlen ("http://"));
    g_autoptr (GSocketClient) waker = g_socket_client_new ();
    g_autoptr (GSocketConnection) last
        = g_socket_client_connect_to_host (waker, address.c_str (), 0, nullptr, nullptr);
    g_thread_join (thread);
    g_object_unref (listener);
  }

private:
  GSocketListener *listener;
  GThread *thread;
  std::string response;
  std::atomic<bool> ended = false;

  static void *
  run (void *data)
  {
    RawServer *self = (RawServer *)data;
    while (true)
      {
        g_autoptr (GSocketConnection) connection
            = g_socket_listener_accept (self->listener, nullptr, nullptr, nullptr);
        if (connection == nullptr || self->ended)
          return nullptr;
        char buffer[4096];
        GIOStream *stream = G_IO_STREAM (connection);
        g_input_stream_read (g_io_stream_get_input_stream (stream), buffer, sizeof (buffer),
                             nullptr, nullptr);
        g_output_stream_write_all (g_io_stream_get_output_stream (stream), self->response.data (),
                                   self->response.size (), nullptr, nullptr, nullptr);
        g_io_stream_close (stream, nullptr, nullptr);
      }
  }
};

class Ctl : public ::testing::Test
{
protected:
  ControlServer leader;
  GPtrArray *servers = g_ptr_array_new ();
  std::string directory;
  std::string token_file;
  std::string patch_file;
  ctl_client_t client = {};
  anv_error_t err = {};
  std::string output;

  void
  SetUp () override
  {
    g_autofree char *path = g_dir_make_tmp ("anvillb-ctl-XXXXXX", nullptr);
    directory = path;
    token_file = directory + "/token";
    patch_file = directory + "/patch";
    std::ofstream (token_file) << "secret\n";
    std::ofstream (patch_file) << double_quoted (team_patch ("a", 1));
    g_ptr_array_add (servers, (void *)leader.url.c_str ());
    connect ();
  }

  void
  TearDown () override
  {
    ctl_client_destroy (&client);
    g_ptr_array_free (servers, TRUE);
    remove (token_file.c_str ());
    remove (patch_file.c_str ());
    remove (directory.c_str ());
  }

  void
  connect ()
  {
    ctl_client_options_t options = { servers, token_file.c_str (), nullptr, 10, 1 };
    ctl_client_destroy (&client);
    ASSERT_TRUE (ctl_client_init (&client, &options, &err)) << err.text;
  }

  bool
  submit (int64_t base, const char *patch_id, bool dry_run = false)
  {
    ctl_submit_options_t options = { base, "anna", "because", patch_id };
    return capture_output ([&] (FILE *out) {
      return ctl_submit (&client, &options, patch_file.c_str (), dry_run, out, &err);
    });
  }

  bool
  run (std::vector<const char *> arguments, ctl_history_options_t options = { -1 })
  {
    return capture_output ([&] (FILE *out) {
      return ctl_history_run (&client, &options, (int)arguments.size (), (char **)arguments.data (),
                              out, &err);
    });
  }

  // Runs CALL with a stream, and stores what it writes there in OUTPUT.
  template <typename F>
  bool
  capture_output (F call)
  {
    char *text = nullptr;
    size_t size = 0;
    err = {};
    FILE *out = open_memstream (&text, &size);
    bool ok = call (out);
    fclose (out);
    output.assign (text, size);
    free (text);
    return ok;
  }
};
}

// Guards against a second version after a lost reply: the client resends the command with the same
// patch_id and reports the version that it got the first time.
TEST_F (Ctl, CommandIsResentAfterLostReply)
{
  leader.replies_to_drop = 2;
  ASSERT_TRUE (submit (0, nullptr)) << err.text;
  EXPECT_NE (output.find ("repeated: version 1, digest "), std::string::npos) << output;
  EXPECT_EQ (version_store_current_version (leader.store), 1u);
  EXPECT_GE (leader.call_count, 3);
}

// Guards against a client that stops at a follower or at an unreachable server.
TEST_F (Ctl, FindsTheLeader)
{
  ControlServer follower;
  follower.api.is_leader = false;
  follower.api.leader_url = leader.url.c_str ();
  const char *unreachable_url = "http://127.0.0.1:1";
  g_ptr_array_insert (servers, 0, (void *)follower.url.c_str ());
  g_ptr_array_insert (servers, 0, (void *)unreachable_url);
  ASSERT_TRUE (submit (0, "p1")) << err.text;
  EXPECT_EQ (output.substr (0, 32), "patch id p1\naccepted: version 1,");
  EXPECT_EQ (version_store_current_version (leader.store), 1u);
  follower.api.leader_url = nullptr;
  ASSERT_TRUE (submit (0, "p1")) << err.text;
  EXPECT_NE (output.find ("repeated: version 1"), std::string::npos);
}

// Guards against a refusal that is reported as success, and a dry run that changes the state.
TEST_F (Ctl, RefusalsAreReported)
{
  ASSERT_TRUE (submit (0, "p1", true)) << err.text;
  EXPECT_EQ (version_store_current_version (leader.store), 0u);
  ASSERT_TRUE (submit (0, "p1"));
  EXPECT_FALSE (submit (0, "p2"));
  EXPECT_EQ (err.code, CTL_ERROR_REFUSED);
  EXPECT_STREQ (err.text, "stale: current version is 1");
  std::ofstream (patch_file) << double_quoted ("{'teams':{'a':{'rate':0}}}");
  EXPECT_FALSE (submit (1, "p3"));
  EXPECT_STREQ (err.text, "invalid: $.teams.a.rate: must be from 0.001 to 1000000; "
                          "current version is 1");
  EXPECT_FALSE (submit (0, "p1"));
  EXPECT_NE (std::string (err.text).find ("conflict: patch_id: belongs to version 1"),
             std::string::npos);
  std::ofstream (patch_file) << "{";
  EXPECT_FALSE (submit (1, "p4"));
  EXPECT_EQ (err.code, CTL_ERROR_USAGE);
  std::ofstream (token_file) << "wrong";
  connect ();
  EXPECT_FALSE (run ({ "history" }));
  EXPECT_NE (std::string (err.text).find ("status 401"), std::string::npos) << err.text;
}

// Guards against history commands that omit records, e.g. those after the first 1,000, which one
// response holds, or that read another version than the requested one.
TEST_F (Ctl, HistoryCommandsReadAllRecords)
{
  for (int i = 0; i < 1100; i++)
    apply_patch (leader.store, i, "p" + std::to_string (i), team_patch ("a", i % 9 + 1), "anna",
                 "because", START_MS + i * 1000);
  std::string digest = digest_text (version_store_record (leader.store, 1001)->digest);
  ASSERT_TRUE (run ({ "verify" }, { 1001, nullptr, nullptr, digest.c_str () })) << err.text;
  EXPECT_NE (output.find ("verified: 1100 versions"), std::string::npos);
  EXPECT_FALSE (run ({ "verify" }, { 1000, nullptr, nullptr, digest.c_str () }));
  EXPECT_EQ (err.code, CTL_ERROR_REFUSED);
  EXPECT_NE (std::string (err.text).find ("first bad version: 1000"), std::string::npos);

  ASSERT_TRUE (run ({ "show" }, { -1, "2026-11-03T10:00:05Z" })) << err.text;
  EXPECT_EQ (output.substr (0, 10), "version 6\n");
  ASSERT_TRUE (run ({ "diff", "1", "2" })) << err.text;
  EXPECT_NE (output.find ("* $.teams.a.rate = 1 to 2"), std::string::npos);
  ASSERT_TRUE (run ({ "explain", "GET", "h", "/" }, { 3, nullptr, "a" })) << err.text;
  EXPECT_NE (output.find ("at version 3"), std::string::npos);
  ASSERT_TRUE (run ({ "report", "2026-11" })) << err.text;
  EXPECT_NE (output.find ("anvillb configuration record 2026-11, version 1100"), std::string::npos);
  ASSERT_TRUE (run ({ "history" })) << err.text;
  EXPECT_EQ (std::count (output.begin (), output.end (), '\n'), 1100);
  EXPECT_FALSE (run ({ "show" }, { 1101 }));
  for (std::vector<const char *> arguments :
       { std::vector<const char *>{ "diff", "1" }, { "report", "11" }, { "diff", "x", "1" } })
    {
      EXPECT_FALSE (run (arguments));
      EXPECT_EQ (err.code, CTL_ERROR_USAGE);
    }
}

// Guards against a malformed or incomplete response that is taken for an answer.
TEST_F (Ctl, InvalidResponsesAreRefused)
{
  const std::string with_length = "Content-Length: 2\r\n\r\n{}";
  std::vector<std::string> responses = {
    "HTTP/1.1 200 OK\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
  };
  for (const char *status : { "000", "099", "600", "999", "0200", "2000", "20", "+200", "2 0" })
    responses.push_back (std::string ("HTTP/1.1 ") + status + " OK\r\n" + with_length);
  for (const std::string &response : responses)
    {
      RawServer server (response);
      unsigned status = 0;
      cJSON *json = ctl_client_call_server (&client, server.url.c_str (), "GET", "/x", nullptr,
                                            &status, &err);
      EXPECT_EQ (json, nullptr) << response << status << err.text;
      cJSON_Delete (json);
    }
  RawServer server ("HTTP/1.1 200 OK\r\n" + with_length);
  unsigned status = 0;
  cJSON *json
      = ctl_client_call_server (&client, server.url.c_str (), "GET", "/x", nullptr, &status, &err);
  EXPECT_NE (json, nullptr) << err.text;
  cJSON_Delete (json);
}
