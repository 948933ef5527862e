#include "http_head.h"
#include "shedding.h"

#include <string.h>

/* Which connection closes while memory or descriptors are short, and where a
   request's head ends. */

#define NOW_MS 100000
#define STALLED_MS (NOW_MS - 5000)

/* Clients that read nothing bring memory to its bound.  Closing whatever holds
   most would close an ordinary caller's upload instead. */
static void
test_memory_order (void)
{
  struct connection_load loads[] = {
    { CONNECTION_SERVING, 900000, 9000000, STALLED_MS },
    { CONNECTION_WRITING, 800000, 9000000, NOW_MS - 10 },
    { CONNECTION_READING, 300000, 9000000, NOW_MS },
    { CONNECTION_READING, 400000, 1000000, NOW_MS },
    { CONNECTION_WRITING, 20000, 9000000, STALLED_MS },
  };

  g_assert_cmpint (shedding_choose_for_memory (loads, 5, NOW_MS), ==, 4);
  /* Unfinished requests come next, of the listener that holds most. */
  g_assert_cmpint (shedding_choose_for_memory (loads, 4, NOW_MS), ==, 2);
  /* A client that reads comes after them. */
  g_assert_cmpint (shedding_choose_for_memory (loads, 2, NOW_MS), ==, 1);
}

/* Connections that send nothing, or half a head, fill a listener.  An idle
   connection loses least by being closed. */
static void
test_room_order (void)
{
  struct connection_load loads[] = {
    { CONNECTION_SERVING, 5000, 0, 0 },
    { CONNECTION_WRITING, 5000, 0, NOW_MS - 10 },
    { CONNECTION_READING, 5000, 0, NOW_MS - 900 },
    { CONNECTION_READING, 5000, 0, NOW_MS - 2900 },
    { CONNECTION_IDLE, 5000, 0, NOW_MS - 200 },
    { CONNECTION_IDLE, 5000, 0, NOW_MS - 700 },
    { CONNECTION_WRITING, 5000, 0, STALLED_MS },
  };

  g_assert_cmpint (shedding_choose_for_room (loads, 7, NOW_MS), ==, 6);
  g_assert_cmpint (shedding_choose_for_room (loads, 6, NOW_MS), ==, 5);
  g_assert_cmpint (shedding_choose_for_room (loads, 4, NOW_MS), ==, 3);
  g_assert_cmpint (shedding_choose_for_room (loads, 2, NOW_MS), ==, 1);
}

/* A request that has been passed on must not lose its connection: its client
   could not tell whether the request was carried out. */
static void
test_passed_on (void)
{
  struct connection_load load = { CONNECTION_SERVING, 5000000, 5000000, 0 };

  g_assert_cmpint (shedding_choose_for_memory (&load, 1, NOW_MS), ==,
                   SHEDDING_NONE);
  g_assert_cmpint (shedding_choose_for_room (&load, 1, NOW_MS), ==,
                   SHEDDING_NONE);
}

/* A head that arrives in pieces, as a slow client sends it, ends where it ends
   in one piece; what follows belongs to no head. */
static void
test_head (void)
{
  static const char *const heads[]
      = { "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\nHost: a\n\n" };

  for (gsize i = 0; i < G_N_ELEMENTS (heads); i++)
    for (gsize piece = 1; piece <= strlen (heads[i]); piece++)
      {
        char *text = g_strconcat (heads[i], "GET", NULL);
        gsize size = strlen (text);
        gsize scanned = 0;
        struct http_head head = { 0 };

        for (gsize at = 0; at < size; at += piece)
          scanned += http_head_scan (&head, text + at, MIN (piece, size - at));
        g_assert_true (head.is_complete);
        g_assert_cmpuint (scanned, ==, strlen (heads[i]));
        g_assert_cmpuint (head.lines, ==, 3);
        g_free (text);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/shedding/memory", test_memory_order);
  g_test_add_func ("/shedding/room", test_room_order);
  g_test_add_func ("/shedding/passed_on", test_passed_on);
  g_test_add_func ("/shedding/head", test_head);
  return g_test_run ();
}
