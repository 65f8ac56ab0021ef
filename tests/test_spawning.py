"""Children are started from a program with garbage that must not be collected in a forked copy of it."""

import asyncio
import gc
import os
import sys
from pathlib import Path

import pytest

from elderlock.spawning import spawn
from elderlock.standins.waiting import run


class Garbage:
    """Garbage that only the collector finds; its end is recorded with the id of the process that collected it."""

    def __init__(self, path: Path) -> None:
        self.path, self.me = path, self

    def __del__(self) -> None:
        fd = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        os.write(fd, f"{os.getpid()}\n".encode())
        os.close(fd)


_garbage_paths: list[
    Path
] = []  # where garbage is made before a fork, and allocated in the copy; empty outside this test


def _before_fork() -> None:
    for path in _garbage_paths:
        Garbage(path)


def _after_fork_in_child() -> None:
    if _garbage_paths:
        [[] for _ in range(5000)]  # enough that the collector runs, if it may


os.register_at_fork(before=_before_fork, after_in_child=_after_fork_in_child)


@pytest.mark.parametrize("safe", [True, False])
def test_nothing_is_garbage_collected_in_the_forked_child(tmp_path: Path, safe: bool) -> None:
    async def test() -> None:
        command = (sys.executable, "-S", "-c", "")
        child = await (spawn(*command) if safe else asyncio.create_subprocess_exec(*command))
        assert await child.wait() == 0
        assert gc.isenabled()

    _garbage_paths.append(tmp_path / "collected")
    try:
        run(test(), within=60.0)
    finally:
        _garbage_paths.clear()
    gc.collect()
    where = set((tmp_path / "collected").read_text().split())
    # without the guard the copy collects it too: the test can fail
    assert (where == {str(os.getpid())}) is safe
