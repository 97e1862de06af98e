#pragma once

#include <stdbool.h>
#include <stddef.h>

/* list - intrusive doubly linked circular list.
 *
 * The node is embedded in the listed struct. A list does not own its elements, and a node is on at
 * most one list. An initialised node that is on no list points to itself. */

typedef struct list_node list_node_t;

struct list_node
{
  list_node_t *prev;
  list_node_t *next;
};

typedef struct
{
  list_node_t head;
} list_t;

/* Returns the struct of TYPE whose field MEMBER is at PTR. MEMBER may have any type. */
#define CONTAINER_OF(ptr, type, member) ((type *)(void *)((char *)(ptr)-offsetof (type, member)))

/* Iterates over LIST with NODE as the current node, which the body must not remove. */
#define LIST_FOREACH(list, node)                                                                   \
  for (list_node_t *node = (list)->head.next; node != &(list)->head; node = node->next)

/* Iterates over LIST with NODE as the current node. The body may remove NODE, not the next one. */
#define LIST_FOREACH_SAFE(list, node)                                                              \
  for (list_node_t *node = (list)->head.next, *node##_next = node->next; node != &(list)->head;    \
       node = node##_next, node##_next = node->next)

void list_init (list_t *list);
void list_node_init (list_node_t *node);
bool list_is_empty (const list_t *list);
bool list_node_is_linked (const list_node_t *node);

/* Counts the nodes; takes linear time. */
size_t list_length (const list_t *list);
void list_push_back (list_t *list, list_node_t *node);
void list_push_front (list_t *list, list_node_t *node);

/* Links NODE in front of POSITION, which is on a list. */
void list_insert_before (list_node_t *position, list_node_t *node);

/* Unlinks NODE; does nothing if it is on no list. */
void list_remove (list_node_t *node);

/* Returns the first node, or NULL if LIST is empty. */
list_node_t *list_first (const list_t *list);

/* Unlinks and returns the first node, or returns NULL if LIST is empty. */
list_node_t *list_pop_front (list_t *list);
