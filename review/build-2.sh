#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start.  They
# are Python, so this only checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
test -x target/burdockshed
export PYTHONDONTWRITEBYTECODE=1
python3 - tests/platform/*.py review/[6-9]/*.py review/10/*.py <<'END'
import sys
for name in sys.argv[1:]:
    with open(name) as f:
        compile(f.read(), name, "exec")
print(len(sys.argv) - 1, "files of the stand-ins are in order")
END
