"""Structured logging of agents and commands, as text and as JSON."""

import json
import subprocess
import sys

import pytest

CODE = """
import logging
from elderlock import logs
logs.configure("{log_format}")
logs.get_logger("a").warning("limiter ended", limiter="n0", pid=7)
logging.getLogger("library").info("said %s", "so")
"""


@pytest.mark.parametrize("log_format", ["text", "json"])
def test_lines_have_separate_fields_and_standard_library_lines_have_the_same_format(log_format: str) -> None:
    completed = subprocess.run(
        [sys.executable, "-c", CODE.format(log_format=log_format)], capture_output=True, text=True, check=True
    )
    structured_line, library_line = completed.stderr.splitlines()
    if log_format == "json":
        fields = json.loads(structured_line)
        assert (fields["event"], fields["limiter"], fields["pid"], fields["level"]) == (
            "limiter ended",
            "n0",
            7,
            "warning",
        )
        assert json.loads(library_line)["event"] == "said so"
    else:
        assert (
            "limiter ended" in structured_line
            and "limiter=n0" in structured_line
            and "pid=7" in structured_line
            and "said so" in library_line
        )
    assert completed.stdout == ""
