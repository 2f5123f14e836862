#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../bin/scene .
