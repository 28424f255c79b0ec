#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held.
cd "$(dirname "$0")/../.."
exec env PYTHONPATH=target/review python3 target/review/case_5.py review/5
