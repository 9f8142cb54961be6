#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.."
PYTHONPATH="target/deps:." python3 -c "import standins.platform" || exit 2
exec env PYTHONPATH="target/deps:." python3 review/8/case.py
