#!/bin/sh
# Checks that the stand-ins of the scripts can run: they are Python, and need nothing but its standard library.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in ["standins.py", *glob.glob("[0-9]/case.py")]:
    with open(path) as file:
        compile(file.read(), path, "exec")
    print("checked", path)
PYTHON
