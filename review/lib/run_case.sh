#!/bin/sh
# run_case.sh FOLDER: play the case in FOLDER; see review/lib/world.py.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=review/lib PYTHONDONTWRITEBYTECODE=1 \
  python3 "review/$1/case.py"
