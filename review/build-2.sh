#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. They are plain Python, also the
# project's own in tests/platform, so this only checks that all of them can be compiled.
set -eu
cd "$(dirname "$0")/.."
for source in review/common_2.py review/[4-8]/*.py tests/platform/standin_store.py samphirecleat/standins/*.py; do
  [ -e "$source" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
