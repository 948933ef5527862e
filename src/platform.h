#ifndef PLATFORM_H
#define PLATFORM_H

#include "counters.h"
#include "message.h"
#include "settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The client of the platform's HTTP API: its log, its VM list, and its orders
   for VMs.  Only platform.c knows the wire format.  Calls return at once; each
   callback runs once, in the thread-default context of the caller. */

struct platform;

/* Create a client of the platform at ENDPOINT, which sends TOKEN ("" for none)
   with each request.  COUNTERS has to outlive it. */
struct platform *platform_new (const struct endpoint *endpoint,
                               const char *token, struct counters *counters);

/* Abort the calls in progress, without calling their callbacks, and destroy
   PLATFORM. */
void platform_destroy (struct platform *platform);

enum append_result
{
  APPEND_DONE,
  APPEND_NOT_DONE,  /* certainly not written */
  APPEND_THROTTLED, /* not written: above the log's maximum rate */
  APPEND_UNCLEAR    /* may have been written, or may still be */
};

typedef void (*platform_append_done) (enum append_result result, void *data);

/* Append TEXTS, an array of strings with one record each, in this order.  The
   strings are copied; DONE gets the result and DATA. */
void platform_append (struct platform *platform, const GPtrArray *texts,
                      platform_append_done done, void *data);

/* The result of a read of the log; ENTRIES is NULL if it failed. */
struct platform_read_result
{
  GArray *entries; /* struct log_entry; the callback owns it */
  uint64_t first;  /* oldest offset still kept */
  uint64_t head;   /* offset of the last record; 0 for none */
};

typedef void (*platform_read_done) (struct platform_read_result *result,
                                    void *data);

/* Read the records with offsets above AFTER.  If there is none, the platform
   waits up to WAIT_MS milliseconds for one. */
void platform_read_log (struct platform *platform, uint64_t after,
                        int64_t wait_ms, platform_read_done done, void *data);

/* VMS is an array of struct listed_vm that the callback owns, or NULL if the
   list could not be read. */
typedef void (*platform_vm_list_done) (GArray *vms, void *data);

/* Read the VM list. */
void platform_read_vm_list (struct platform *platform,
                            platform_vm_list_done done, void *data);

/* SUCCEEDED is false if the platform refused the order or did not answer. */
typedef void (*platform_order_done) (bool succeeded, void *data);

/* Send ORDER to the platform.  A failed order is not retried here. */
void platform_send_order (struct platform *platform,
                          const struct message_vm_order *order,
                          platform_order_done done, void *data);

#endif
