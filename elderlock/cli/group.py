"""Selects the group that a command works on. Modules are imported only when they are needed."""

from __future__ import annotations

import argparse
import os
from pathlib import Path
from typing import Any


def selected_group(options: argparse.Namespace) -> Any:
    """Return the group of `--group`, of `ELDERLOCK_GROUP`, or else the one that `elderlock up` runs here.

    Raises:
        FileError: No group is selected, several are running, or a file cannot be used.
    """
    from elderlock.fleet.client.group_client import Group

    path = options.group or os.environ.get("ELDERLOCK_GROUP")
    if not path:
        path = the_running_group()
    token = options.token_file or os.environ.get("ELDERLOCK_TOKEN")
    return Group.read(Path(path), Path(token) if token else None)


def the_running_group() -> str:
    """Return the group file of the one group that `elderlock up` runs for this user.

    Raises:
        FileError: No group is running, or several are.
    """
    from elderlock.cli.running_groups import running_group_files
    from elderlock.fleet.config import FileError

    paths = running_group_files()
    if not paths:
        raise FileError("no group: give --group FILE or set ELDERLOCK_GROUP; none is running here")
    if len(paths) > 1:
        raise FileError(f"several groups are running here; set ELDERLOCK_GROUP to one of {', '.join(paths)}")
    return paths[0]
