#!/bin/sh
# Play the case.  Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run.  With TROUBLE=0 it does the same without the
# disruption, and must pass.
TROUBLE=${TROUBLE:-1}
case $TROUBLE in
  0 | 1) ;;
  *) echo "TROUBLE must be 0 or 1" >&2; exit 2 ;;
esac
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 review/6/case.py
