#!/bin/sh
# Builds what the scripts of the second review start beside the programs under test. The stand-ins
# are plain Python without dependencies, so it only checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -m py_compile site_2.py ./*/case.py
