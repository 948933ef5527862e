#include "account_report.h"

#include "variant_bytes.h"

#define AMOUNT_TYPE ACCOUNT_AMOUNT_TYPE
#define ROW_TYPE "(s" AMOUNT_TYPE AMOUNT_TYPE AMOUNT_TYPE ")"
#define REPORT_TYPE "(ttxa" ROW_TYPE ")"
#define ALLOTMENT_TYPE "(s" AMOUNT_TYPE ")"
#define CALL_TYPE "(tttxa" ALLOTMENT_TYPE ")"

static void
row_destroy (gpointer p)
{
  struct account_row *r = p;

  g_free (r->account);
  g_free (r);
}

struct account_report *
account_report_new (void)
{
  struct account_report *r = g_new0 (struct account_report, 1);

  r->rows = g_ptr_array_new_with_free_func (row_destroy);
  return r;
}

void
account_report_destroy (gpointer report)
{
  struct account_report *r = report;

  if (r == NULL)
    return;
  g_ptr_array_unref (r->rows);
  g_free (r);
}

struct account_row *
account_report_add (struct account_report *report, const char *account)
{
  struct account_row *r = g_new0 (struct account_row, 1);

  r->account = g_strdup (account);
  g_ptr_array_add (report->rows, r);
  return r;
}

static GVariant *
amount_to_variant (struct account_amount a)
{
  return g_variant_new (AMOUNT_TYPE, a.cpu_milli, a.memory_mb, a.gpus);
}

static struct account_amount
amount_from_variant (GVariant *v)
{
  struct account_amount a;

  g_variant_get (v, AMOUNT_TYPE, &a.cpu_milli, &a.memory_mb, &a.gpus);
  g_variant_unref (v);
  return a;
}

GBytes *
account_report_to_bytes (const struct account_report *report)
{
  GVariantBuilder rows;

  g_variant_builder_init (&rows, G_VARIANT_TYPE ("a" ROW_TYPE));
  for (guint i = 0; i < report->rows->len; i++)
    {
      const struct account_row *r = g_ptr_array_index (report->rows, i);

      g_variant_builder_add (
          &rows, "(s@" AMOUNT_TYPE "@" AMOUNT_TYPE "@" AMOUNT_TYPE ")",
          r->account, amount_to_variant (r->held), amount_to_variant (r->used),
          amount_to_variant (r->wanted));
    }
  return variant_to_bytes (g_variant_new (REPORT_TYPE, report->cell_epoch,
                                          report->number,
                                          report->config_version, &rows));
}

struct account_report *
account_report_from_bytes (GBytes *bytes)
{
  GVariant *v = variant_from_bytes (bytes, REPORT_TYPE);
  struct account_report *report;
  GVariantIter *rows;
  const char *name;
  GVariant *held, *used, *wanted;

  if (v == NULL)
    return NULL;
  report = account_report_new ();
  g_variant_get (v, REPORT_TYPE, &report->cell_epoch, &report->number,
                 &report->config_version, &rows);
  while (g_variant_iter_next (
      rows, "(&s@" AMOUNT_TYPE "@" AMOUNT_TYPE "@" AMOUNT_TYPE ")", &name,
      &held, &used, &wanted))
    {
      struct account_row *r = account_report_add (report, name);

      r->held = amount_from_variant (held);
      r->used = amount_from_variant (used);
      r->wanted = amount_from_variant (wanted);
    }
  g_variant_iter_free (rows);
  g_variant_unref (v);
  return report;
}

static void
allotment_destroy (gpointer p)
{
  struct allotment *a = p;

  g_free (a->account);
  g_free (a);
}

struct allotment_call *
allotment_call_new (void)
{
  struct allotment_call *c = g_new0 (struct allotment_call, 1);

  c->allotments = g_ptr_array_new_with_free_func (allotment_destroy);
  return c;
}

void
allotment_call_destroy (gpointer call)
{
  struct allotment_call *c = call;

  if (c == NULL)
    return;
  g_ptr_array_unref (c->allotments);
  g_free (c);
}

void
allotment_call_add (struct allotment_call *call, const char *account,
                    struct account_amount limit)
{
  struct allotment *a = g_new0 (struct allotment, 1);

  a->account = g_strdup (account);
  a->limit = limit;
  g_ptr_array_add (call->allotments, a);
}

GBytes *
allotment_call_to_bytes (const struct allotment_call *call)
{
  GVariantBuilder allotments;

  g_variant_builder_init (&allotments, G_VARIANT_TYPE ("a" ALLOTMENT_TYPE));
  for (guint i = 0; i < call->allotments->len; i++)
    {
      const struct allotment *a = g_ptr_array_index (call->allotments, i);

      g_variant_builder_add (&allotments, "(s@" AMOUNT_TYPE ")", a->account,
                             amount_to_variant (a->limit));
    }
  return variant_to_bytes (g_variant_new (CALL_TYPE, call->ledger_epoch,
                                          call->cell_epoch, call->report,
                                          call->config_version, &allotments));
}

struct allotment_call *
allotment_call_from_bytes (GBytes *bytes)
{
  GVariant *v = variant_from_bytes (bytes, CALL_TYPE);
  struct allotment_call *call;
  GVariantIter *allotments;
  const char *name;
  GVariant *limit;

  if (v == NULL)
    return NULL;
  call = allotment_call_new ();
  g_variant_get (v, CALL_TYPE, &call->ledger_epoch, &call->cell_epoch,
                 &call->report, &call->config_version, &allotments);
  while (
      g_variant_iter_next (allotments, "(&s@" AMOUNT_TYPE ")", &name, &limit))
    allotment_call_add (call, name, amount_from_variant (limit));
  g_variant_iter_free (allotments);
  g_variant_unref (v);
  return call;
}
