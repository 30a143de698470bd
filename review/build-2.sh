#!/bin/sh
# Builds the stand-ins of cases 6 to 10: the project's own in tests/emulator
# and what review/standin-2 adds. They are plain Python and use only libraries
# of the deploy file's build, so this compiles them and checks that they load.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || sh deploy/build.sh
python3 -m compileall -q tests/emulator review/standin-2
PYTHONPATH=review/standin-2 python3 -c 'import common'
