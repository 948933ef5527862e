#ifndef ORDER_WINDOW_H
#define ORDER_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/* How long an order for a machine may still arrive after the journal has named
   the machine.  Pattern: the owner of the fleet writes the machine's name, is
   slow or paused, and sends the order while its successor has read the name;
   two holders must not order one machine within the holder lease.

   An order log holds the machines that were ordered within that time, by this
   owner of the fleet or an earlier one, and the text that names them in the
   journal. */

/* An order is sent only within this time after its worker was found empty,
   which is before the journal names the machine. */
#define ORDER_EMPTIED_MAX_AGE_MS 900
/* Timeout of an order: it is not put on a connection later. */
#define ORDER_TIMEOUT_MS 1500

/* An order without an answer may be carried out this much later. */
#define ORDER_LATE_MAX_MS 12000

/* Return for how long from its takeover a successor leaves the machines alone
   that the journal names, and for how long it names them. */
int64_t order_window_ms (int64_t holder_lease_ms);

/* The same if the successor is the former owner after its restart: what the
   process had not sent ended with it. */
int64_t order_window_after_restart_ms (int64_t holder_lease_ms);

/* Return for how long an order that was sent before now, or is about to be,
   may be carried out. */
int64_t order_unsettled_ms (void);

struct order_log;

/* Return an empty log, which the caller destroys. */
struct order_log *order_log_new (int64_t holder_lease_ms);
void order_log_destroy (struct order_log *log);

/* Add the machines that the journal's TEXT, "A,B,C", names at the takeover;
   WAS_OWN tells that this process has ordered them before its restart. */
void order_log_load (struct order_log *log, const char *text, bool was_own,
                     int64_t now_ms);

/* Add the machines whose upkeep the journal's TEXT names at the takeover: as
   long as an earlier owner's order may be carried out, and this owner has not
   ordered the same machine itself, they are unsettled. */
void order_log_load_upkeeps (struct order_log *log, const char *text,
                             int64_t now_ms);

/* Add MACHINE, which this owner is about to order, to upkeep if IS_UPKEEP. */
void order_log_add (struct order_log *log, const char *machine, bool is_upkeep,
                    int64_t now_ms);

/* Record that this owner's order for MACHINE was answered, or was not and may
   be carried out later. */
void order_log_settle (struct order_log *log, const char *machine);
void order_log_unsettle (struct order_log *log, const char *machine,
                         int64_t now_ms);

/* Return whether an earlier owner may have ordered MACHINE within the holder
   lease. */
bool order_log_is_held_back (const struct order_log *log, const char *machine,
                             int64_t now_ms);

/* Return whether an order for MACHINE may have been carried out, or may be
   later, without this owner knowing. */
bool order_log_is_unsettled (const struct order_log *log, const char *machine,
                             int64_t now_ms);

/* Return the text for the journal, which the caller frees: of all machines, or
   of those whose upkeep has been ordered and may be carried out yet. */
char *order_log_text (const struct order_log *log, int64_t now_ms);
char *order_log_upkeeps_text (const struct order_log *log, int64_t now_ms);

#endif
