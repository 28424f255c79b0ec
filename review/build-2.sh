#!/bin/sh
# Compiles the stand-ins and scripts of cases 6 to 10; they need Python alone.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q support-2
for case in 6 7 8 9 10; do
  if [ -f "$case/case.py" ]; then
    python3 -m compileall -q "$case"
  fi
done
