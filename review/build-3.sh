#!/bin/sh
# Prepares the stand-ins that the scripts of review/11 to review/15 start.  They
# and the project's own ones, tests/platform/, are Python scripts that use only
# the standard library, so there is nothing to compile: this checks that the
# interpreter reads all of them, and that the deploy file's build is there.
set -eu
cd "$(dirname "$0")/.."
test -x target/burdockshed || {
  echo "run the build of deploy/system.toml first" >&2
  exit 1
}
python3 -B - review/lib-3/*.py review/1[1-5]/*.py \
  tests/platform/nodes.py tests/platform/standin.py \
  tests/platform/run_rules.py tests/platform/wave_platform.py <<'EOF'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as f:
        compile(f.read(), name, "exec")
print("the stand-ins are ready")
EOF
