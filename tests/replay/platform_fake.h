#ifndef PLATFORM_FAKE_H
#define PLATFORM_FAKE_H

#include "message.h"
#include "replay.h"
#include "trace.h"

/* A fake of the platform for replays: its log, its VM list, its orders and
   its workers, all on the virtual clock. */

/* Called for each message that a node is to get at AT_MS. */
typedef void (*platform_fake_deliver) (void *data, uint32_t node,
                                       struct message *message, int64_t at_ms);

struct platform_fake;

struct platform_fake *platform_fake_new (uint32_t n_nodes,
                                         platform_fake_deliver deliver,
                                         void *data);
void platform_fake_destroy (struct platform_fake *platform);

/* Append the configuration TEXT. */
void platform_fake_publish (struct platform_fake *platform, const char *text,
                            int64_t now_ms);

/* Let EVENT of the trace take effect. */
void platform_fake_meet (struct platform_fake *platform,
                         const struct trace_event *event, int64_t now_ms);

/* Take an append, the cancelling of one, or an order from a node. */
void platform_fake_take (struct platform_fake *platform,
                         const struct message *message, int64_t now_ms);

/* Start RUN of a task that truly takes RUN_MS.  Return whether the worker
   began it. */
bool platform_fake_run (struct platform_fake *platform, uint32_t node,
                        const struct message_run *run, int64_t run_ms,
                        int64_t now_ms);

/* Return whether the VM of this run failed under it, so that what it would
   have answered is void. */
bool platform_fake_was_lost (const struct platform_fake *platform,
                             uint64_t request, uint32_t attempt);

/* Time passing: states end, the list and the log's state are told. */
void platform_fake_step (struct platform_fake *platform, int64_t now_ms);

/* Add what the fake has counted to RESULT. */
void platform_fake_report (const struct platform_fake *platform,
                           struct replay_result *result);

#endif
