#!/bin/sh
# Checks that what the scripts of the second review start can be loaded. The stand-ins
# are Python modules, and need nothing but what the build of the deploy file brings.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -c "import standins.platform, apricotquay.platform.store"
python3 -m py_compile review/harness2.py review/store2.py review/model_server2.py review/[6-9]/case.py 2>/dev/null \
    || python3 -m py_compile review/harness2.py review/store2.py review/model_server2.py
