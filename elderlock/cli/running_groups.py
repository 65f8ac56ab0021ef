"""Finds the groups that `elderlock up` runs, for commands that are given no group.

Every command may load this module, so it imports only what it needs.
"""

from __future__ import annotations

import os
import tempfile

GROUP_FOLDER_PREFIX = "elderlock-up-"


def running_group_files() -> list[str]:
    """Return the group files of the groups that this user runs.

    Each file is in a folder that only its owner can enter.
    """
    paths = []
    with os.scandir(tempfile.gettempdir()) as entries:
        for entry in entries:
            if not entry.name.startswith(GROUP_FOLDER_PREFIX):
                continue
            try:
                status = entry.stat(follow_symlinks=False)
            except OSError:
                continue  # the folder was removed meanwhile
            path = os.path.join(entry.path, "group.toml")
            # Any user can create a folder of this name in the shared temporary folder. A group of this user contains
            # the user's token, so its folder is private.
            if status.st_uid == os.getuid() and status.st_mode & 0o077 == 0 and os.path.exists(path):
                paths.append(path)
    return sorted(paths)
