#include "metrics_page.h"

#include <string.h>

void
metrics_page_handle_call (const metric_registry_t *registry, call_t *call,
                          const call_request_t *request)
{
  if (strcmp (request->request_target, "/metrics") != 0 || strcmp (request->method, "GET") != 0)
    {
      call_answer_status (call, 404);
      return;
    }
  g_autoptr (GString) text = g_string_new (NULL);
  metric_registry_render (registry, text);
  call_answer_t answer = {
    .status = 200,
    .content_type = "text/plain; version=0.0.4",
    .body = text->str,
    .body_size = text->len,
  };
  call_answer (call, &answer);
}
