#!/bin/sh
# Builds what the scripts of the third review start besides the daemons: the project's
# store stand-in and the harness are Python and run from the source tree, so that it is
# only checked that they compile and load with what the deploy file's build has put into
# target/deps.
cd "$(dirname "$0")/.." || exit 2
for case in review/1[1-5]/case.py; do
    [ -e "$case" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$case" || exit 1
done
exec env PYTHONPATH=target/deps:.:review python3 -c "import harness3, standins.platform"
