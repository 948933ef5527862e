#ifndef FIT_H
#define FIT_H

#include <stddef.h>

/* A straight line fitted to measured points, and the largest deviation from
   it. */
struct fit
{
  double slope;
  double intercept;
  double residual_percent; /* largest deviation in Y as a percentage of the
                              largest |Y| */
};

struct point
{
  double x;
  double y;
};

/* Fit a line to N points by least squares. */
struct fit fit_line (const struct point *points, size_t n);

/* Fit a line to N points and print both under NAME.  UNIT is the unit of the
   slope (Y per X). */
void fit_print (const char *name, const char *unit, const struct point *points,
                size_t n);

#endif
