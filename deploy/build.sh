#!/bin/sh
# Installs what a node needs into target/deps: libraries if their list has
# changed, and the workspace's packages, which are plain Python.
set -eu
mkdir -p target
if ! cmp -s deploy/requirements.txt target/installed.txt; then
    rm -rf target/deps target/installed.txt
    python3 -m pip install --quiet --disable-pip-version-check \
        --target target/deps --requirement deploy/requirements.txt
    cp deploy/requirements.txt target/installed.txt
fi
for package in peridotsill peridotsill_platform peridotsill_scheduler \
    peridotsill_jobs; do
    rm -rf "target/deps/$package"
    cp -r "packages/$package/src/$package" target/deps/
done
rm -rf target/deps/peridotsill_adapter
cp -r platform/src/peridotsill_adapter target/deps/
