"""Version folders: their files, and the command that starts a limiter on a version."""

from __future__ import annotations

from pathlib import Path

import pytest

from elderlock.fleet.config import AgentFile, AgentPart, FileError, LimiterPart, VersionsPart
from elderlock.fleet.supervision.versions import Versions


def test_version_files_are_read_strictly_and_placeholders_are_filled_in(tmp_path: Path) -> None:
    part = LimiterPart("n0", ("limiter",), "n0.json")
    file = AgentFile(AgentPart("a", "127.0.0.1:0", "s", "t"), versions=VersionsPart())
    for name, text in (
        ("v2", 'command = ["{version}/bin", "{limiter}"]\n'),
        ("odd", "comand = []\n"),
        ("empty", ""),
        ("conf", 'config = "c/{limiter}.json"\n'),
    ):
        (tmp_path / "versions" / name).mkdir(parents=True)
        (tmp_path / "versions" / name / "version.toml").write_text(text)
    versions = Versions(tmp_path, file)
    assert versions.launch(part, "").command == ("limiter",)
    assert versions.launch(part, "v2").command == (f"{tmp_path}/versions/v2/bin", "n0")
    assert versions.launch(part, "conf") == versions.launch(part, "").__class__(("limiter",), ".", "c/n0.json")
    assert [name for name, _ in versions.digests()] == ["conf", "v2"]
    for name, text in (
        ("odd", "comand"),
        ("empty", "neither command"),
        ("none", "No such file"),
        ("../v2", "is no name"),
    ):
        with pytest.raises(FileError, match=text):
            versions.launch(part, name)
    with pytest.raises(FileError, match="has no .versions."):
        Versions(tmp_path, AgentFile(file.agent)).launch(part, "v2")
