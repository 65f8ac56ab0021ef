"""Structured log lines of agents and commands, as text and as JSON."""

import json
import subprocess
import sys

import pytest

CODE = """
import logging
from elderlock import logs
logs.configure("{form}")
logs.get_logger("a").warning("limiter ended", limiter="n0", pid=7)
logging.getLogger("library").info("said %s", "so")
"""


@pytest.mark.parametrize("form", ["text", "json"])
def test_lines_have_separate_fields_and_the_standard_librarys_have_the_same_form(form: str) -> None:
    done = subprocess.run([sys.executable, "-c", CODE.format(form=form)], capture_output=True, text=True, check=True)
    own, plain = done.stderr.splitlines()
    if form == "json":
        fields = json.loads(own)
        assert (fields["event"], fields["limiter"], fields["pid"], fields["level"]) == (
            "limiter ended",
            "n0",
            7,
            "warning",
        )
        assert json.loads(plain)["event"] == "said so"
    else:
        assert "limiter ended" in own and "limiter=n0" in own and "pid=7" in own and "said so" in plain
    assert done.stdout == ""
