"""Finds the group that `elderlock up` runs, for commands that were told of none. Loads next to nothing: it stands
on the way of every command."""

from __future__ import annotations

import os
import tempfile

GROUP_FOLDER_PREFIX = "elderlock-up-"


def running_group_files() -> list[str]:
    """The group files of those that this user runs; each lies in a folder that only its owner can enter."""
    found = []
    with os.scandir(tempfile.gettempdir()) as entries:
        for entry in entries:
            if not entry.name.startswith(GROUP_FOLDER_PREFIX):
                continue
            try:
                status = entry.stat(follow_symlinks=False)
            except OSError:
                continue  # it has just been swept up
            path = os.path.join(entry.path, "group.toml")
            # anybody may make such a name in a shared folder; what we run has a token of ours in it
            if status.st_uid == os.getuid() and status.st_mode & 0o077 == 0 and os.path.exists(path):
                found.append(path)
    return sorted(found)
