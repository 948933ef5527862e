#include "standin.h"

#define LISTS_KEPT 600

/* The VM list as it was at a moment. */
struct listing
{
  int64_t at_ms;
  char *text;
  GPtrArray *leaving; /* struct worker *, those it calls leaving */
};

static void
listing_free (struct listing *l)
{
  g_free (l->text);
  g_ptr_array_unref (l->leaving);
  g_free (l);
}

static char *
render (const struct standin *s)
{
  GString *text = g_string_new ("{\"vms\":[");

  for (guint i = 0; i < s->workers->len; i++)
    {
      const struct worker *w = g_ptr_array_index (s->workers, i);

      g_string_append_printf (
          text,
          "%s{\"vm\":\"%s\",\"address\":\"127.0.0.1\",\"port\":%u,"
          "\"zone\":\"%s\",\"rack\":\"%s\",\"pool\":\"%s\",\"slots\":%u,"
          "\"running\":%u,\"state\":\"%s\"}",
          i == 0 ? "" : ",", w->vm, w->port, w->zone, w->rack, w->pool,
          w->slots, w->running, worker_state_name (w->state));
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static GPtrArray *
find_leaving (const struct standin *s)
{
  GPtrArray *leaving = g_ptr_array_new ();

  for (guint i = 0; i < s->workers->len; i++)
    {
      struct worker *w = g_ptr_array_index (s->workers, i);

      if (w->state == WORKER_LEAVING)
        g_ptr_array_add (leaving, w);
    }
  return leaving;
}

/* Keep the list as it is now, so that it can be shown later.  Changes within
   a tenth of the lag are kept as one. */
void
vm_list_note (struct standin *s)
{
  struct listing *last = g_queue_peek_tail (s->lists);
  int64_t now_ms = standin_now_ms ();

  if (last != NULL
      && now_ms - last->at_ms < MAX (s->faults.list_lag_ms, 10) / 10)
    {
      g_free (last->text);
      last->text = render (s);
      g_ptr_array_unref (last->leaving);
      last->leaving = find_leaving (s);
      return;
    }
  last = g_new0 (struct listing, 1);
  last->at_ms = now_ms;
  last->text = render (s);
  last->leaving = find_leaving (s);
  g_queue_push_tail (s->lists, last);
  if (g_queue_get_length (s->lists) > LISTS_KEPT)
    listing_free (g_queue_pop_head (s->lists));
}

void
vm_list_handle (struct standin *s, SoupServerMessage *message)
{
  const struct listing *shown = g_queue_peek_head (s->lists);
  int64_t now_ms = standin_now_ms ();
  int64_t as_of_ms = now_ms - s->faults.list_lag_ms;

  if (s->faults.list_down)
    {
      answer_text (message, 503, "{}");
      return;
    }
  for (GList *i = s->lists->head; i != NULL; i = i->next)
    {
      const struct listing *l = i->data;

      if (l->at_ms > as_of_ms)
        break;
      shown = l;
    }
  for (guint i = 0; i < shown->leaving->len; i++)
    {
      struct worker *w = g_ptr_array_index (shown->leaving, i);

      if (w->state == WORKER_LEAVING && w->told_leaving_ms == 0)
        w->told_leaving_ms = now_ms;
    }
  answer_text (message, 200, shown->text);
}
