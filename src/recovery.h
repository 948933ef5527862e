#ifndef RECOVERY_H
#define RECOVERY_H

#include "parts.h"
#include "turn.h"

#include <stdbool.h>
#include <stdint.h>

/* Brings a node's fleet state to a complete state that is not older than those
   of its peers, by checkpoints in the log or a snapshot from a peer.  The node
   is not ready before.  One node at a time publishes checkpoints; two at once
   only waste appends. */

struct recovery;

struct recovery *recovery_new (void);
void recovery_destroy (struct recovery *recovery);

/* Handle the entries that were read from the log.  Return true if the log no
   longer holds all records that TURN's fleet would have to apply first.  Then
   the entries are moved from MESSAGE to a buffer, and the caller may apply
   none. */
bool recovery_buffer_records (struct recovery *recovery,
                              const struct turn *turn,
                              struct message_records *message);

/* Handle a part of a checkpoint that was read from the log. */
void recovery_handle_checkpoint (struct recovery *recovery,
                                 const struct turn *turn,
                                 const struct record_checkpoint *checkpoint);

/* Handle the STATE of the log, which was read at STATE's asked_ms or later. */
void recovery_handle_log_state (struct recovery *recovery,
                                const struct turn *turn,
                                const struct message_log_state *state);

/* Note OFFSET, which a peer has applied. */
void recovery_note_peer_offset (struct recovery *recovery, uint64_t offset);

/* Handle a PEER_SNAPSHOT_ASK or PEER_SNAPSHOT_PART; other kinds are ignored.
 */
void recovery_handle_snapshot_message (struct recovery *recovery,
                                       struct turn *turn,
                                       const struct peer_message *message);

/* Note that this node has just resumed after a pause of its process, so that
   its fleet may be stale. */
void recovery_mark_resumed (struct recovery *recovery, int64_t now_ms);

/* Ask a peer for missing parts; publish a checkpoint if one is due. */
void recovery_step (struct recovery *recovery, struct turn *turn);

/* Return the fleet that a snapshot was restored to and that replaces that of
   the caller, or NULL if there is none.  Set *BUFFERED to the log entries
   (struct log_entry *) to apply after it.  The caller owns both. */
struct fleet *recovery_take_restored (struct recovery *recovery,
                                      GQueue **buffered);

/* Return whether the fleet state is complete and, since this node started or
   resumed, has reached the head of the log or, without the log, the offsets of
   all peers.  No peer is then known to be ahead of it by more than what is in
   transit. */
bool recovery_has_caught_up (const struct recovery *recovery);

/* Return the offset of the latest complete checkpoint read from the log; 0 for
   none. */
uint64_t recovery_checkpoint_offset (const struct recovery *recovery);

#endif
