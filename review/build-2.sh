#!/bin/sh
# Builds what the scripts of review/4 to review/6 start besides the nodes. The
# stand-ins need Python 3.11 and its standard library only, so there is nothing
# to build; this checks that they compile and that the deploy build has run.
cd "$(dirname "$0")/.." || exit 1
python3 -B - review/lib-2/*.py review/[456]/case.py <<'EOF' || exit 1
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
EOF
if [ ! -d target/deps/burdockfront_node ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 1
fi
