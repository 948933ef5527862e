#ifndef CONFIG_DRAFT_H
#define CONFIG_DRAFT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A configuration of the job path as it is written, before it is sent, and
   what a check of it has found.  Unlike struct routes it keeps what is invalid
   or written twice, and the place of each entry. */

enum config_section
{
  CONFIG_QUEUES,
  CONFIG_SERVICES,
  CONFIG_ACCOUNTS,
  CONFIG_LIMITS, /* one entry */
  CONFIG_SECTIONS
};

enum config_member
{
  CONFIG_NAME,
  CONFIG_HOST,
  CONFIG_PATH_PREFIX,
  CONFIG_SERVICE,
  CONFIG_TIMEOUT_MS,
  CONFIG_TARGET_MS,
  CONFIG_PRIORITY,
  CONFIG_MAX_ATTEMPTS,
  CONFIG_DEADLINE_FACTOR,
  CONFIG_IS_PUBLIC,
  CONFIG_ADVICE,
  CONFIG_ADVICE_VALID_MS,
  CONFIG_ADMISSION_CONTROL,
  CONFIG_IS_STANDBY,
  CONFIG_KEYS,
  CONFIG_WEIGHT,
  CONFIG_CAP,
  CONFIG_CAP_CPU,
  CONFIG_CAP_MEMORY,
  CONFIG_CAP_GPUS,
  CONFIG_MAX_HEADER_BYTES,
  CONFIG_MAX_BODY_BYTES,
  CONFIG_HEADER_TIMEOUT_MS,
  CONFIG_IDLE_TIMEOUT_MS,
  CONFIG_MEMBERS
};

/* The names that a file format has for sections and members. */
struct config_words
{
  const char *version;
  const char *sections[CONFIG_SECTIONS];
  const char *members[CONFIG_MEMBERS];
};

struct config_value
{
  char *text;    /* as printed; NULL if there is no valid value */
  double number; /* of a number; 1 for true */
};

struct config_entry
{
  const struct config_words *words;
  char *place; /* such as "routes[3]" */
  struct config_value values[CONFIG_MEMBERS];
  GPtrArray *keys; /* char *, NULL for one that is no string; never printed */
};

struct config_draft
{
  const struct config_words *words;
  int64_t version;                      /* -1 if there is no valid one */
  bool has_accounts;                    /* without, callers need no keys */
  GPtrArray *sections[CONFIG_SECTIONS]; /* struct config_entry * */
};

struct config_draft *config_draft_new (const struct config_words *words);
void config_draft_destroy (struct config_draft *draft);

/* Add an empty entry to SECTION and return it; PLACE is taken over. */
struct config_entry *config_draft_add (struct config_draft *draft,
                                       enum config_section section,
                                       char *place);

/* Return the first entry of SECTION named NAME, or NULL. */
const struct config_entry *config_draft_find (const struct config_draft *draft,
                                              enum config_section section,
                                              const char *name);

enum config_severity
{
  CONFIG_ERROR, /* must not be sent */
  CONFIG_WARNING,
  CONFIG_CHANGE /* a difference from the version in force */
};

struct config_finding
{
  enum config_severity severity;
  char *place;
  char *text; /* what is wrong, and what to write instead */
};

/* Return an empty array of struct config_finding *. */
GPtrArray *config_findings_new (void);

void config_findings_add (GPtrArray *findings, enum config_severity severity,
                          const char *place, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

/* Do the same for MEMBER of ENTRY. */
void config_findings_add_at (GPtrArray *findings,
                             enum config_severity severity,
                             const struct config_entry *entry,
                             enum config_member member, const char *format,
                             ...) G_GNUC_PRINTF (5, 6);

guint config_findings_count (const GPtrArray *findings,
                             enum config_severity severity);

/* Return the findings, a line each, errors first; the caller frees it. */
char *config_findings_to_text (const GPtrArray *findings);

#endif
