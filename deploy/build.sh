#!/bin/sh
# Installs the libraries under target/deps and compiles a copy of the programs under
# target/app. Hosts can't write byte code next to the sources, and compiling these at each
# start takes three times as long as all else.
set -eu
if ! [ target/deps -nt pyproject.toml ]; then
  rm -rf target/deps
  python3 -m pip install -q --disable-pip-version-check --target target/deps \
    -r deploy/requirements.txt
  python3 -m compileall -q -f --invalidation-mode unchecked-hash target/deps
  touch target/deps
fi
rm -rf target/app
mkdir -p target/app/src
cp -r platform target/app/
cp -r src/thornlatch target/app/src/
find target/app \( -name tests -o -name __pycache__ \) -prune -exec rm -rf {} +
python3 -m compileall -q --invalidation-mode unchecked-hash target/app
