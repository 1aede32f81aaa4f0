#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python modules without
# dependencies, so compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib
