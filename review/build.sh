#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python files without dependencies,
# so there is nothing to install; this checks that they compile. The nodes come
# from the build of the deploy file (target/deps).
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
P
