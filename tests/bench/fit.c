#include "fit.h"

#include <math.h>
#include <stdio.h>

struct fit
fit_line (const struct point *points, size_t n)
{
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  double max_abs_y = 0;
  double max_deviation = 0;
  struct fit f = { 0, 0, 0 };

  for (size_t i = 0; i < n; i++)
    {
      sx += points[i].x;
      sy += points[i].y;
      sxx += points[i].x * points[i].x;
      sxy += points[i].x * points[i].y;
      max_abs_y = fmax (max_abs_y, fabs (points[i].y));
    }
  f.slope = ((double)n * sxy - sx * sy) / ((double)n * sxx - sx * sx);
  f.intercept = (sy - f.slope * sx) / (double)n;
  for (size_t i = 0; i < n; i++)
    max_deviation = fmax (max_deviation, fabs (points[i].y - f.intercept
                                               - f.slope * points[i].x));
  f.residual_percent = max_abs_y > 0 ? max_deviation * 100 / max_abs_y : 0;
  return f;
}

void
fit_print (const char *name, const char *unit, const struct point *points,
           size_t n)
{
  struct fit f = fit_line (points, n);

  printf ("%-34s slope %.6g %s, intercept %.6g, residual %.1f%%\n", name,
          f.slope, unit, f.intercept, f.residual_percent);
  for (size_t i = 0; i < n; i++)
    printf ("    %10.0f %14.3f\n", points[i].x, points[i].y);
}
