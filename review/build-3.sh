#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile standins_3.py 1[1-5]/*.py
