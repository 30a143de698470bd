#!/bin/sh
# Builds the stand-ins that the scripts of this review start: the project's
# own platform in tests/emulator, and review/standin-3. Both are plain Python
# and use the libraries in target/deps, so they are only checked here.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:tests:review/standin-3 PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'import harness'
