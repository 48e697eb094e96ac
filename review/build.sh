#!/bin/sh
# The stand-ins of the cases are Python and run inside each case's own process,
# so there is nothing to compile. Checks that they can be loaded, and that the
# build of the deploy file has made the program.
set -eu
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import ast, glob, sys
for path in sorted(glob.glob("common/*.py") + glob.glob("*/case.py")):
    ast.parse(open(path).read(), path)
sys.path.insert(0, "common")
import rig
sys.exit(0 if rig.find_program() else "the program of the deploy file is not built")
PY
