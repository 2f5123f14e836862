#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, beside the programs of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../../target
go build -o ../../target/review-rig .
