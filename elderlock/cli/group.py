"""Which group a command is about. Loads next to nothing before it is asked."""

from __future__ import annotations

import argparse
import os
from pathlib import Path
from typing import Any


def group_of(options: argparse.Namespace) -> Any:
    """The group that the options name, or the environment, or the one that is up. Raises `FileError`."""
    from elderlock.fleet.client.group_client import Group

    path = options.group or os.environ.get("ELDERLOCK_GROUP")
    if not path:
        path = the_group()
    token = options.token_file or os.environ.get("ELDERLOCK_TOKEN")
    return Group.read(Path(path), Path(token) if token else None)


def the_group() -> str:
    """The one that `elderlock up` runs here. Raises `FileError`."""
    from elderlock.cli.running_groups import running_group_files
    from elderlock.fleet.config import FileError

    found = running_group_files()
    if not found:
        raise FileError("no group: give --group FILE or set ELDERLOCK_GROUP; none is up here")
    if len(found) > 1:
        raise FileError(f"several groups are up here; set ELDERLOCK_GROUP to one of {', '.join(found)}")
    return found[0]
