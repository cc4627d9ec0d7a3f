#!/usr/bin/env bash
# Builds what the scripts of the cases from 6 on start, beside the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -C review/rig-2 -o ../../target/rig2 .
