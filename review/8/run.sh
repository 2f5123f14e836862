#!/usr/bin/env bash
# Plays the case and writes review/8/record.txt: what was sent, answered and run. Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec target/review-rig withdrawn review/8
