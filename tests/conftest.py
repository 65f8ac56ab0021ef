"""Fixtures that all tests share."""

import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

# how long one example takes depends on the machine and says nothing
settings.register_profile("any machine", deadline=None)
settings.load_profile("any machine")


@pytest.fixture
def tmp_path() -> Iterator[Path]:
    """A short one in place of pytest's: a Unix socket's path holds 107 bytes, wherever TMPDIR lies."""
    with tempfile.TemporaryDirectory(prefix="el-", dir="/tmp", ignore_cleanup_errors=True) as folder:
        yield Path(folder)
