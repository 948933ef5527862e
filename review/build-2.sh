#!/bin/sh
# Builds the stand-ins of the scripts of the second review.  They are Python
# programs, so there is nothing to compile: this checks that the interpreter,
# the project's stand-ins and the program of the deploy file are there.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
test -x target/burdockshed
python3 -c '
import sys
sys.path[:0] = ["review/lib-2", "tests/platform"]
import harness, standin, nodes'
for f in review/[6-9]/case.py review/10/case.py; do
  if [ -e "$f" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
  fi
done
echo "the stand-ins are ready"
