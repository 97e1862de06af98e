#pragma once

#include "config_doc.h"
#include "text_page.h"

/* history_setting - describes the settings of a document in words. Internal to history. */

void history_add_service (text_page_t *page, size_t indent, const config_service_t *service);
void history_add_route (text_page_t *page, size_t indent, const config_route_t *route);
void history_add_limit (text_page_t *page, size_t indent, const config_limit_t *limit);
