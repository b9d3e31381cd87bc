#!/bin/sh
# Builds the stand-ins of the cases. They are Python files that need only the standard
# library, so this compiles them to find errors early.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins.py [1-9]
