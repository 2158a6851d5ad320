# Everything a fresh machine needs is Python 3.11 with venv, and make.
PYTHON ?= python3
RUN = .venv/bin/python

.PHONY: demo test lint bench clean

demo: .venv/demo
	$(RUN) -m ochreflow.cli demo

test: .venv/test
	$(RUN) -m pytest

lint: .venv/test
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/lint-imports
	.venv/bin/mypy

bench: .venv/demo
	$(RUN) benchmarks/overhead.py

.venv/demo: requirements.txt requirements-cli.txt
	$(PYTHON) -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -r requirements.txt -r requirements-cli.txt
	touch $@

.venv/test: .venv/demo requirements-dev.txt requirements-report.txt
	.venv/bin/pip install -q --disable-pip-version-check -r requirements-report.txt -r requirements-dev.txt
	touch $@

clean:
	rm -rf .venv
