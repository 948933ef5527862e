#ifndef RECOVERY_H
#define RECOVERY_H

#include "parts.h"
#include "turn.h"

#include <stdbool.h>
#include <stdint.h>

/* How a node comes to a fleet that is whole and not older than its peers':
   checkpoints in the log, snapshots from a peer, and the rule that it is not
   ready before.  One node at a time publishes checkpoints; two at once waste
   appends and do no harm. */

struct recovery;

struct recovery *recovery_new (void);
void recovery_destroy (struct recovery *recovery);

/* Take in what a read of the log brought.  Return true if the log no longer
   holds all that TURN's fleet would have to fold first: the entries are kept
   here, out of MESSAGE, and nothing may be folded. */
bool recovery_hold (struct recovery *recovery, const struct turn *turn,
                    struct message_records *message);

/* Take in a part of a checkpoint that stands in the log. */
void recovery_note (struct recovery *recovery, const struct turn *turn,
                    const struct record_checkpoint *checkpoint);

/* Take in what the log says of itself, read at ASKED_MS or later. */
void recovery_log_state (struct recovery *recovery, const struct turn *turn,
                         const struct message_log_state *state);

/* Take in the offset that a peer has folded. */
void recovery_hear (struct recovery *recovery, uint64_t offset);

/* Take in a snapshot message from a peer. */
void recovery_handle (struct recovery *recovery, struct turn *turn,
                      const struct peer_message *message);

/* Note that this node was paused and has just gone on. */
void recovery_resumed (struct recovery *recovery, int64_t now_ms);

/* Ask for what is missing; publish a checkpoint where one is due. */
void recovery_step (struct recovery *recovery, struct turn *turn);

/* Return a fleet that is to take the place of TURN's, and in *HELD the
   entries read behind it (struct log_entry *), both for the caller to own;
   NULL if there is none. */
struct fleet *recovery_take (struct recovery *recovery, GQueue **held);

/* Return whether the fleet is whole and no peer is known to be ahead of it by
   more than what is on its way. */
bool recovery_caught_up (const struct recovery *recovery);

/* Return the offset of the latest whole checkpoint seen in the log. */
uint64_t recovery_checkpoint (const struct recovery *recovery);

#endif
