#!/bin/sh
# The stand-ins are Python files that use the standard library only: this checks that
# they compile. The daemons are built by the build line of the deploy file.
cd "$(dirname "$0")" && exec python3 -m compileall -q harness.py 1 2 3 4
