#include "list.h"

void
list_init (list_t *list)
{
  list_node_init (&list->head);
}

void
list_node_init (list_node_t *node)
{
  node->prev = node;
  node->next = node;
}

bool
list_is_empty (const list_t *list)
{
  return list->head.next == &list->head;
}

bool
list_node_is_linked (const list_node_t *node)
{
  return node->next != node;
}

size_t
list_length (const list_t *list)
{
  size_t length = 0;
  LIST_FOREACH (list, node)
  {
    length++;
  }
  return length;
}

void
list_insert_before (list_node_t *position, list_node_t *node)
{
  node->prev = position->prev;
  node->next = position;
  position->prev->next = node;
  position->prev = node;
}

void
list_push_back (list_t *list, list_node_t *node)
{
  list_insert_before (&list->head, node);
}

void
list_push_front (list_t *list, list_node_t *node)
{
  list_insert_before (list->head.next, node);
}

void
list_remove (list_node_t *node)
{
  node->prev->next = node->next;
  node->next->prev = node->prev;
  list_node_init (node);
}

list_node_t *
list_first (const list_t *list)
{
  return list_is_empty (list) ? NULL : list->head.next;
}

list_node_t *
list_pop_front (list_t *list)
{
  list_node_t *node = list_first (list);
  if (node != NULL)
    list_remove (node);
  return node;
}
