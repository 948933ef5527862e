#ifndef PLATFORM_H
#define PLATFORM_H

#include "counters.h"
#include "message.h"
#include "settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The one port to the platform: its log, its VM list, and its orders to VMs.
   Another wire format is a change to platform.c alone.  Calls return at once;
   each callback runs once, in the thread-default context of the caller. */

struct platform;

/* Create a port to the platform at ENDPOINT. */
struct platform *platform_new (const struct endpoint *endpoint,
                               const char *token, struct counters *counters);

/* Abandon what is in progress; its callbacks are not called. */
void platform_destroy (struct platform *platform);

enum append_result
{
  APPEND_DONE,
  APPEND_NOT_DONE, /* certainly not written */
  APPEND_TOO_FAST, /* not written: above the log's rate */
  APPEND_UNCLEAR   /* it may have been written, now or later */
};

typedef void (*platform_append_done) (enum append_result result, void *data);

/* Append TEXTS (an array of strings, one record each) in this order. */
void platform_append (struct platform *platform, const GPtrArray *texts,
                      platform_append_done done, void *data);

/* What a read of the log brought; ENTRIES is NULL if it failed. */
struct platform_read_result
{
  GArray *entries; /* struct log_entry; the callback owns it */
  uint64_t first;  /* the oldest offset kept */
  uint64_t head;   /* the last offset written; 0 for none */
};

typedef void (*platform_read_done) (struct platform_read_result *result,
                                    void *data);

/* Read the records behind offset AFTER.  Wait up to WAIT_MS for one. */
void platform_read (struct platform *platform, uint64_t after, int64_t wait_ms,
                    platform_read_done done, void *data);

/* VMS is an array of struct listed_vm that the callback owns, or NULL. */
typedef void (*platform_list_done) (GArray *vms, void *data);

/* Read the VM list. */
void platform_list (struct platform *platform, platform_list_done done,
                    void *data);

typedef void (*platform_act_done) (bool done_well, void *data);

/* Order ACTION for VM. */
void platform_act (struct platform *platform,
                   const struct message_platform *order,
                   platform_act_done done, void *data);

#endif
