#!/usr/bin/env bash
# Runs all tests under the race detector, except those that KNOWN-RED.txt lists. The packages that are named run on one thread.
set -euo pipefail
one_thread=$(printf '%s\n' "$@")
module=$(go list -m)
listed=$(tools/known-red.sh packages)
all=$(go list ./... | sed "s#^$module#.#")
plain=$(grep -vxF -f <(echo "$one_thread") ${listed:+-f <(echo "$listed")} <<< "$all")
export RAPID_SEED=1
set -x
# shellcheck disable=SC2086 # a list of packages
go test -race -timeout 5m $plain
for package in $listed; do
	if ! grep -qxF "$package" <<< "$one_thread"; then
		go test -race -timeout 5m -skip "$(tools/known-red.sh skip "$package")" "$package"
	fi
done
for package in $one_thread; do
	skip=
	if grep -qxF "$package" <<< "$listed"; then
		skip=$(tools/known-red.sh skip "$package")
	fi
	GOMAXPROCS=1 go test -race -timeout 15m ${skip:+-skip "$skip"} "$package"
done
