"""Fixtures that all tests share."""

import contextlib
import fcntl
import os
import signal
import tempfile
from collections.abc import Iterator
from pathlib import Path

import known_red
import pytest
from _pytest.terminal import TerminalReporter
from hypothesis import settings

# In the command line of each program that tests start as a process of its own.
PROGRAM_ARGUMENTS = b"\0-m\0elderlock"

# No deadline: how long one example takes depends on the machine.
settings.register_profile("any machine", deadline=None)
settings.load_profile("any machine")


def known_failures(config: pytest.Config) -> list[known_red.KnownFailure]:
    return known_red.read_known_failures(config.rootpath / "KNOWN-RED.txt")


def pytest_configure(config: pytest.Config) -> None:
    known_failures(config)  # an invalid list fails the run before it starts


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    all_tests_collected = config.args == config.getini("testpaths")
    known_red.mark_known_failures(items, known_failures(config), all_tests_collected)
    # Tests marked `alone` come first: they start soon, as the first tests of the other processes are short.
    items.sort(key=lambda item: item.get_closest_marker("alone") is None)


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    for failure in known_failures(config):
        terminalreporter.write_line(f"KNOWN RED: {failure}")


@pytest.fixture(autouse=True)
def _alone(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Iterator[None]:
    """Run a test marked `alone` while no other process runs a test: it uses all CPUs, so it would slow other tests
    down, and they would slow it beyond the limits that it checks.

    The lock is a readers-writer lock, which each test acquires while it holds the turnstile. A test that waits to run
    alone keeps the turnstile locked, so that no further tests start. Otherwise some test would always be running, and
    the waiting process would be idle until the end of the run."""
    base = tmp_path_factory.getbasetemp()
    shared_directory = base.parent if "PYTEST_XDIST_WORKER" in os.environ else base
    lock_mode = fcntl.LOCK_EX if request.node.get_closest_marker("alone") is not None else fcntl.LOCK_SH
    with (shared_directory / "alone.lock").open("w") as test_lock:
        with (shared_directory / "turnstile.lock").open("w") as turnstile:
            fcntl.flock(turnstile, lock_mode)
            fcntl.flock(test_lock, lock_mode)
        yield


@pytest.fixture(autouse=True)
def _end_programs() -> Iterator[None]:
    """Kill the programs that a test leaves running, as one that failed may do.

    Such a limiter goes on calling discovery at its port, which the kernel then gives to a server of another test."""
    yield
    for process_id in _children_of_this_process():
        with contextlib.suppress(FileNotFoundError, ProcessLookupError, ChildProcessError):
            if PROGRAM_ARGUMENTS in Path(f"/proc/{process_id}/cmdline").read_bytes():
                os.kill(process_id, signal.SIGKILL)
                os.waitpid(process_id, 0)


def _children_of_this_process() -> list[int]:
    children: list[int] = []
    for task in Path("/proc/self/task").iterdir():
        with contextlib.suppress(FileNotFoundError):  # the thread has ended
            children += map(int, (task / "children").read_text().split())
    return children


@pytest.fixture
def tmp_path() -> Iterator[Path]:
    """Replace pytest's fixture with one that has a short path, independent of TMPDIR: a Unix socket's path is limited to
    107 bytes."""
    with tempfile.TemporaryDirectory(prefix="el-", dir="/tmp", ignore_cleanup_errors=True) as folder:
        yield Path(folder)
