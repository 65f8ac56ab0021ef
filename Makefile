# Two commands for whoever has just cloned this: `make up` starts a whole group, `make test` passes the tests.
PYTHON ?= python3
LIMITERS ?= 3
TRAFFIC ?= 60

.venv/ready: requirements.txt requirements-dev.txt pyproject.toml
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	.venv/bin/pip install --quiet --disable-pip-version-check --no-deps -e . --config-settings editable_mode=compat
	touch $@

.PHONY: env up test bench
env: .venv/ready

up: .venv/ready
	@exec .venv/bin/elderlock up --limiters $(LIMITERS) --traffic $(TRAFFIC)

test: .venv/ready
	.venv/bin/ruff format --check . && .venv/bin/ruff check . && .venv/bin/mypy && .venv/bin/python -m pytest

bench: .venv/ready
	.venv/bin/python benchmarks/fleet_drain.py
