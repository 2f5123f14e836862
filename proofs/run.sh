#!/usr/bin/env bash
# Mutation tests: disables each mechanism of switched-off.txt in a copy of the tree, one at a time, and reports whether its
# test then fails, as it must. An argument selects the lines whose name contains it. The exit status is the number of
# mechanisms for which it did not, or whose line could not be applied.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy" "$copy.log"' EXIT
missed=0
while IFS= read -r line; do
	case "$line" in '' | '#'*) continue ;; esac
	name=${line%% @@ *}
	rest=${line#* @@ }
	file=${rest%% @@ *}
	rest=${rest#* @@ }
	change=${rest%% @@ *}
	command=${rest#* @@ }
	case "$name" in *"${1:-}"*) ;; *) continue ;; esac
	rm -rf "${copy:?}"/*
	git ls-files -z | xargs -0 cp --parents -t "$copy"
	perl -0pi -e "$change" "$copy/$file"
	verdict="fails as required"
	if cmp -s "$file" "$copy/$file"; then
		verdict="NO MATCH         "
	elif ! (cd "$copy" && go vet "./$(dirname "$file")") >"$copy.log" 2>&1; then
		verdict="DOES NOT BUILD   "
	elif (cd "$copy" && timeout 120 bash -c "$command") >"$copy.log" 2>&1; then
		verdict="STILL PASSES     "
	fi
	[ "$verdict" = "fails as required" ] || missed=$((missed + 1))
	echo "$verdict $name"
done <proofs/switched-off.txt
exit "$missed"
