#ifndef EXIT_STATUS_H
#define EXIT_STATUS_H

/* Exit statuses of the program; every command uses the same. */
enum exit_status
{
  EXIT_STATUS_DONE = 0,
  EXIT_STATUS_REFUSED = 1, /* refused or invalid, or a target does not hold */
  EXIT_STATUS_USAGE = 2,
  EXIT_STATUS_UNREACHABLE = 3,
  EXIT_STATUS_WARNINGS = 4 /* check --strict found warnings and no errors */
};

#endif
