#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. The entry hosts' program is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
