#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later, after the build of the deploy
# file. They are Python and need only what that build installs.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
export PYTHONPYCACHEPREFIX=target/review-2
shopt -s nullglob
python3 -m compileall -q standins review/lib-2 review/[6-9] review/10*/
python3 -c "import aiohttp, msgspec; from standins import platform_store"
