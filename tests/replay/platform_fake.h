#ifndef PLATFORM_FAKE_H
#define PLATFORM_FAKE_H

#include "message.h"
#include "replay.h"
#include "trace.h"

/* A fake platform for replays: its log, its VM list, its handling of orders
   and its workers, all on the virtual clock. */

/* Called for each message that NODE is to receive at AT_MS.  The callee takes
   ownership of MESSAGE. */
typedef void (*platform_fake_deliver) (void *data, uint32_t node,
                                       struct message *message, int64_t at_ms);

struct platform_fake;

struct platform_fake *platform_fake_new (uint32_t n_nodes,
                                         platform_fake_deliver deliver,
                                         void *data);
void platform_fake_destroy (struct platform_fake *platform);

/* Append the configuration TEXT to the log. */
void platform_fake_publish (struct platform_fake *platform, const char *text,
                            int64_t now_ms);

/* Apply EVENT of the trace, which must outlive PLATFORM. */
void platform_fake_apply_event (struct platform_fake *platform,
                                const struct trace_event *event,
                                int64_t now_ms);

/* Handle an append, the cancelling of one, or a VM order from a node; ignore
   other messages. */
void platform_fake_handle_message (struct platform_fake *platform,
                                   const struct message *message,
                                   int64_t now_ms);

/* Start RUN of a task whose actual run time is RUN_MS, and deliver its result
   to NODE.  Return whether the worker started it. */
bool platform_fake_start_run (struct platform_fake *platform, uint32_t node,
                              const struct message_run *run, int64_t run_ms,
                              int64_t now_ms);

/* Return whether the VM of this run failed during it, so that the result
   already scheduled for it must be ignored. */
bool platform_fake_was_run_lost (const struct platform_fake *platform,
                                 uint64_t request, uint32_t attempt);

/* Advance to NOW_MS: return VMs to service whose state has ended, commit the
   records that waited for the log, and send the nodes the VM list and the
   state of the log when they are due. */
void platform_fake_step (struct platform_fake *platform, int64_t now_ms);

/* Set the counts of PLATFORM in RESULT. */
void platform_fake_report (const struct platform_fake *platform,
                           struct replay_result *result);

#endif
