#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are plain JavaScript and need no build; this checks that they can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs ./*/play.mjs; do
    node --check "$file"
done
