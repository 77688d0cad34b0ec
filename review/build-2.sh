#!/bin/bash
# Builds the stand-ins of the second review. They need Python's standard library only, so that
# nothing is fetched: it is enough that they compile.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 -m compileall -q standins_2.py [4-8]
