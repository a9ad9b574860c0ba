#!/usr/bin/env bash
# Builds what the scripts start beside the daemons: Python without anything to generate, so it only
# checks that all of it can be imported from the libraries that the build of the deploy file has put
# into target/deps.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c 'import review.rig'
