#include <gtest/gtest.h>

extern "C"
{
#include "list.h"
}

struct item_t
{
  int value;
  list_node_t node;
};

static int
value_of (list_node_t *node)
{
  return CONTAINER_OF (node, item_t, node)->value;
}

// Guards against broken links when the body of a loop removes the current node.
TEST (List, RemoveWhileIterating)
{
  list_t list;
  item_t items[5];
  list_init (&list);
  for (int i = 0; i < 5; i++)
    {
      items[i].value = i;
      list_push_back (&list, &items[i].node);
    }
  LIST_FOREACH_SAFE (&list, node)
  {
    if (value_of (node) % 2 == 0)
      list_remove (node);
  }
  ASSERT_EQ (list_length (&list), 2u);
  EXPECT_EQ (value_of (list_pop_front (&list)), 1);
  EXPECT_EQ (value_of (list_pop_front (&list)), 3);
  EXPECT_EQ (list_pop_front (&list), nullptr);
}

// Guards against damage to other lists when a node is removed twice.
TEST (List, RemoveTwiceIsHarmless)
{
  list_t list;
  item_t a = { 1, {} };
  item_t b = { 2, {} };
  list_init (&list);
  list_push_back (&list, &a.node);
  list_push_front (&list, &b.node);
  list_remove (&a.node);
  list_remove (&a.node);
  EXPECT_FALSE (list_node_is_linked (&a.node));
  EXPECT_EQ (value_of (list_first (&list)), 2);
}
