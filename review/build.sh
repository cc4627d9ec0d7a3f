#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts: one program, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -C review/rig -o ../../target/review/rig .
