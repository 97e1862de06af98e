#include "history_setting.h"

static void
add_wrong_response_rules (text_page_t *page, size_t indent, const config_service_t *service)
{
  if (service->wrong_status_count > 0)
    {
      GString *list = g_string_new (NULL);
      for (size_t i = 0; i < service->wrong_status_count; i++)
        g_string_append_printf (list, "%s%u", i > 0 ? ", " : "", service->wrong_statuses[i]);
      text_page_add_paragraph (page, indent, "wrong response: status %s", list->str);
      g_string_free (list, TRUE);
    }
  if (service->wrong_required_header != NULL)
    text_page_add_paragraph (page, indent, "wrong response: no header %s",
                             service->wrong_required_header);
}

void
history_add_service (text_page_t *page, size_t indent, const config_service_t *service)
{
  GString *hosts = g_string_new (NULL);
  for (size_t i = 0; i < service->host_count; i++)
    g_string_append_printf (hosts, "%s%s", i > 0 ? ", " : "", service->hosts[i]);
  text_page_add_paragraph (page, indent, "hosts: %s", hosts->str);
  g_string_free (hosts, TRUE);
  text_page_add_paragraph (page, indent, "healthy slots kept in service: at least %u",
                           service->min_healthy_slots);
  text_page_add_paragraph (page, indent,
                           "sensitivity: %.10g (0 fewest false ejections, 1 fastest detection)",
                           service->sensitivity);
  text_page_add_paragraph (page, indent, "retries: at most %.10g of first attempts",
                           service->retry_share);
  text_page_add_paragraph (page, indent, "assigned entries in each failure domain: %u",
                           service->entries_per_domain);
  text_page_add_paragraph (page, indent, "connection stalled: after %u ms without progress",
                           service->stall_ms);
  text_page_add_paragraph (page, indent, "slow start of a new target: %u ms",
                           service->slow_start_ms);
  text_page_add_paragraph (page, indent, "requests waiting at an assigned entry: at most %u",
                           service->max_queue);
  add_wrong_response_rules (page, indent, service);
}

void
history_add_route (text_page_t *page, size_t indent, const config_route_t *route)
{
  g_autofree char *methods = config_methods_to_text (route->methods);
  text_page_add_paragraph (page, indent, "methods: %s; prefix: %s", methods, route->prefix);
  text_page_add_paragraph (page, indent, "class: %s", config_class_name (route->request_class));
  if (route->idempotent)
    text_page_add_paragraph (page, indent, "idempotent: yes, may be retried");
  else
    text_page_add_paragraph (page, indent, "idempotent: no, runs at most once");
  if (route->is_public)
    text_page_add_paragraph (page, indent, "public: yes, needs no key of a team");
  text_page_add_paragraph (page, indent, "time limit: %u ms", route->timeout_ms);
  text_page_add_paragraph (page, indent, "body: at most %u bytes", route->max_body_bytes);
}

void
history_add_limit (text_page_t *page, size_t indent, const config_limit_t *limit)
{
  if (limit->rate == 0)
    {
      text_page_add_paragraph (page, indent, "none");
      return;
    }
  text_page_add_paragraph (page, indent,
                           "%.10g requests per second, bursts of up to %.10g requests", limit->rate,
                           limit->burst);
}
