"""A program that a test leaves running is killed at the end of the test."""

import os
import subprocess
import sys
from pathlib import Path

import known_red
import pytest

TESTS = Path(known_red.__file__).parent
SUITE = """
import subprocess
import sys

def test_leaves_a_program():
    code = "import time; time.sleep(60)"
    null = subprocess.DEVNULL  # the test that waits for this suite must not wait for the program too
    child = subprocess.Popen([sys.executable, "-c", code, "-m", "elderlock"], stdout=null, stderr=null)
    print("started", child.pid)
"""


def test_program_that_a_test_leaves_running_is_killed(tmp_path: Path) -> None:
    """Guards against: a limiter left by a failed test calls discovery at a port that another test's server has now."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_suite.py").write_text(SUITE)
    for name in ("conftest.py", "known_red.py"):
        (tmp_path / "tests" / name).write_text((TESTS / name).read_text())
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\npythonpath = tests\n")
    completed = subprocess.run(
        [sys.executable, "-B", "-m", "pytest", "-q", "-s", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        env={name: value for name, value in os.environ.items() if not name.startswith("PYTEST")},
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout
    (process_id,) = (int(line.split()[1]) for line in completed.stdout.splitlines() if line.startswith("started"))
    with pytest.raises(ProcessLookupError):
        os.kill(process_id, 0)
