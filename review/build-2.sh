#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the product: the project's stand-ins and
# the scripts themselves, which are Python. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

[[ -d target/deps/quincespool ]] || bash deploy/build
python3 -m compileall -q tests/support review/rig2.py review/[4-6]
PYTHONPATH=target/deps:. python3 -c "import review.rig2"
