#pragma once

#include "config_doc.h"
#include "rng.h"

/* route_split - distributes the requests of a route among services by the weights of its split.
 *
 * Each request goes to the part that is furthest behind its weight, so that the shares hold over a
 * few requests and not only on average. */

typedef struct
{
  GHashTable *routes; /* route id -> split_state_t */
} route_split_t;

void route_split_init (route_split_t *split);
void route_split_destroy (route_split_t *split);

/* Returns the service of DOC for the next request of ROUTE. */
const config_service_t *route_split_choose (route_split_t *split, const config_doc_t *doc,
                                            const config_route_t *route, rng_t *rng);
