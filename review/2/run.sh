#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
# What was sent, answered and run is written to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
# A run that can't begin must not leave the record of an earlier one.
rm -f review/2/record.txt
[ -x review/bin/scene ] || exit 2
exec review/bin/scene tenant review/2
