"""Child processes are started without a garbage collection in the forked child."""

import asyncio
import gc
import os
import sys
from pathlib import Path

import pytest

from elderlock.spawning import spawn
from elderlock.standins.waiting import run


class Garbage:
    """A reference cycle, which only the garbage collector frees; it records the id of the process that collects it."""

    def __init__(self, path: Path) -> None:
        self.path, self.itself = path, self

    def __del__(self) -> None:
        fd = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        os.write(fd, f"{os.getpid()}\n".encode())
        os.close(fd)


# Files that `Garbage` created before a fork records to; empty outside this test, so that its fork hooks do nothing.
_garbage_paths: list[Path] = []


def _before_fork() -> None:
    for path in _garbage_paths:
        Garbage(path)


def _after_fork_in_child() -> None:
    if _garbage_paths:
        [[] for _ in range(5000)]  # enough allocations to trigger the garbage collector if it is enabled


os.register_at_fork(before=_before_fork, after_in_child=_after_fork_in_child)


@pytest.mark.parametrize("use_spawn", [True, False])
def test_nothing_is_garbage_collected_in_the_forked_child(tmp_path: Path, use_spawn: bool) -> None:
    async def test() -> None:
        command = (sys.executable, "-S", "-c", "")
        child = await (spawn(*command) if use_spawn else asyncio.create_subprocess_exec(*command))
        assert await child.wait() == 0
        assert gc.isenabled()

    _garbage_paths.append(tmp_path / "collected")
    try:
        run(test(), within=60.0)
    finally:
        _garbage_paths.clear()
    gc.collect()
    collecting_pids = set((tmp_path / "collected").read_text().split())
    # Without `spawn` the child collects it too, which shows that the test can fail.
    assert (collecting_pids == {str(os.getpid())}) is use_spawn
