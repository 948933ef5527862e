#!/bin/sh
# Build what the cases start besides target/burdockshed.  Their stand-ins are
# Python, so this only checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
test -x target/burdockshed
export PYTHONDONTWRITEBYTECODE=1
python3 - tests/platform/*.py review/lib/*.py review/[1-5]/*.py <<'END'
import sys
for name in sys.argv[1:]:
    with open(name) as f:
        compile(f.read(), name, "exec")
print(len(sys.argv) - 1, "files of the stand-ins are in order")
END
