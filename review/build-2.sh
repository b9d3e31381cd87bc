#!/bin/sh
# Builds what the scripts of cases 6 and later start. The stand-ins (`standins_2.py`) use only
# Python's standard library, so this compiles them once to see that this Python runs them.
cd "$(dirname "$0")" && python3 - <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in (pathlib.Path("standins_2.py"), *sorted(pathlib.Path().glob("*/case.py"))):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("stand-ins built")
PY
