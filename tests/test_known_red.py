"""The list of tests that are known to fail, played on a small suite of its own."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = Path(__file__).parent
SUITE = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"
RED = "tests/test_suite.py::test_red | it is wrong | #1"


def played(folder: Path, listed: str | None) -> subprocess.CompletedProcess[str]:
    (folder / "tests").mkdir()
    (folder / "tests" / "test_suite.py").write_text(SUITE)
    for name in ("conftest.py", "known_red.py"):
        (folder / "tests" / name).write_text((TESTS / name).read_text())
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\npythonpath = tests\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    environ = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    return subprocess.run(
        [sys.executable, "-B", "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=folder,
        env=environ,
        text=True,
        capture_output=True,
    )


def test_a_listed_test_that_fails_is_let_pass_and_printed(tmp_path: Path) -> None:
    done = played(tmp_path, RED + "\n\n")
    assert done.returncode == 0, done.stdout
    assert "1 passed, 1 xfailed" in done.stdout
    assert "KNOWN RED: tests/test_suite.py::test_red: it is wrong (#1)" in done.stdout


@pytest.mark.parametrize("listed", [None, "", "\n"])
def test_no_list_lets_nothing_pass(tmp_path: Path, listed: str | None) -> None:
    done = played(tmp_path, listed)
    assert done.returncode == 1 and "1 failed, 1 passed" in done.stdout


@pytest.mark.parametrize(
    ("listed", "told"),
    [
        ("tests/test_suite.py::test_green | it was wrong | #1", "XPASS(strict)"),
        ("tests/test_suite.py::test_other | it is wrong | #1", "which is no test"),
        ("tests/test_suite.py::test_red | it is wrong", "is not 'test | cause | issue'"),
        ("tests/test_suite.py::test_red |  | #1", "is not 'test | cause | issue'"),
        ("\n".join([RED] * 4), "4 lines, 3 at most"),
    ],
)
def test_a_list_that_is_wrong_fails_the_run(tmp_path: Path, listed: str, told: str) -> None:
    done = played(tmp_path, listed)
    assert done.returncode != 0
    assert told in done.stdout + done.stderr
