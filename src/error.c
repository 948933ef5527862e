#include "error.h"

#include "exit_status.h"

GQuark
error_quark (void)
{
  return g_quark_from_static_string ("burdockshed-error");
}

int
error_exit_status (const GError *error)
{
  if (error == NULL)
    return EXIT_STATUS_DONE;
  if (error->domain != SHED_ERROR)
    return EXIT_STATUS_UNREACHABLE;
  switch ((enum error_kind)error->code)
    {
    case ERROR_USAGE:
      return EXIT_STATUS_USAGE;
    case ERROR_INVALID:
    case ERROR_REFUSED:
    case ERROR_CONFLICT:
      return EXIT_STATUS_REFUSED;
    case ERROR_UNREACHABLE:
    case ERROR_UNCLEAR:
      return EXIT_STATUS_UNREACHABLE;
    }
  return EXIT_STATUS_REFUSED;
}
