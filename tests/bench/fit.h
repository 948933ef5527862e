#ifndef FIT_H
#define FIT_H

#include <stddef.h>

/* A straight line through measured points, and how far they lie off it. */
struct fit
{
  double slope;
  double intercept;
  double residual_percent; /* the largest, of the largest value */
};

struct point
{
  double x;
  double y;
};

/* Fit a line to N points by least squares. */
struct fit fit_line (const struct point *points, size_t n);

/* Print the points and the line under NAME; UNIT is that of Y per X. */
void fit_print (const char *name, const char *unit, const struct point *points,
                size_t n);

#endif
