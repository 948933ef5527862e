#ifndef ERROR_H
#define ERROR_H

#include <glib.h>

/* Errors of the program, in a GError domain of their own.  Each message says
   what is wrong and what to do instead. */

#define SHED_ERROR (error_quark ())

enum error_kind
{
  ERROR_USAGE,       /* the command line is wrong */
  ERROR_INVALID,     /* a file or message has an invalid member */
  ERROR_REFUSED,     /* valid, but not accepted */
  ERROR_CONFLICT,    /* it would overwrite another operator's change */
  ERROR_UNREACHABLE, /* no answer from a node or the platform */
  ERROR_UNCLEAR      /* the request may or may not have taken effect */
};

/* Return the domain of these errors. */
GQuark error_quark (void);

/* Return the exit status of the process for ERROR, which may be NULL; errors
   of another domain, such as I/O errors, count as unreachable. */
int error_exit_status (const GError *error);

#endif
