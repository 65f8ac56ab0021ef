#!/bin/sh
# The stand-ins are Python files that need the standard library alone: there is nothing to build. This checks that the
# environment of the deploy file's build can read them.
cd "$(dirname "$0")/.." && exec .venv/bin/python -B -c '
import ast, pathlib, tomllib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
'
