"""Fixtures that all tests share."""

import fcntl
import os
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

# how long one example takes depends on the machine and says nothing
settings.register_profile("any machine", deadline=None)
settings.load_profile("any machine")


@pytest.fixture(autouse=True)
def _alone(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Iterator[None]:
    """A test marked `alone` runs while no other process runs one: it fills the machine, and would both slow the
    others and be slowed beyond the bounds that it is about."""
    base = tmp_path_factory.getbasetemp()
    shared = base.parent if "PYTEST_XDIST_WORKER" in os.environ else base
    with (shared / "alone.lock").open("w") as file:
        alone = request.node.get_closest_marker("alone") is not None
        fcntl.flock(file, fcntl.LOCK_EX if alone else fcntl.LOCK_SH)
        yield


@pytest.fixture
def tmp_path() -> Iterator[Path]:
    """A short one in place of pytest's: a Unix socket's path holds 107 bytes, wherever TMPDIR lies."""
    with tempfile.TemporaryDirectory(prefix="el-", dir="/tmp", ignore_cleanup_errors=True) as folder:
        yield Path(folder)
