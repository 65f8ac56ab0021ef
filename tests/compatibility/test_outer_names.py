"""Checks that each name that leaves a process is still in the source: on the wire, in settings, stores and commands.

`outer_names.txt` lists single names, `outer_texts.txt` texts of several words. The other tests in this folder check the
encoded bytes. This one detects a name that was renamed by mistake.
"""

import re
from collections import Counter
from pathlib import Path

import pytest

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
WORD = re.compile(r"[A-Za-z0-9_]+(?:[-.][A-Za-z0-9_]+)*")
SUFFIXES = {".py", ".toml", ".proto"}


def read_list(name: str) -> list[str]:
    lines = (HERE / name).read_text(encoding="utf-8").splitlines()
    return [found for line in lines if (found := line.split("#")[0].strip())]


@pytest.fixture(scope="module")
def source() -> str:
    """Return the source of the package and the example files of deploy/, without the tests."""
    paths = [path for path in sorted((ROOT / "elderlock").rglob("*")) if path.suffix in SUFFIXES]
    paths += sorted((ROOT / "deploy").glob("*.toml"))
    return "\n".join(path.read_text(encoding="utf-8") for path in paths)


def test_each_listed_name_is_in_the_source(source: str) -> None:
    words: set[str] = set()
    for word in WORD.findall(source):
        words.add(word)
        words.update(re.split(r"[-.]", word))
    names = read_list("outer_names.txt")
    assert len(names) > 1000
    assert [name for name in names if name not in words] == []


def test_each_listed_text_is_in_the_source(source: str) -> None:
    texts = read_list("outer_texts.txt")
    assert len(texts) == 11
    assert [text for text in texts if f'"{text}"' not in source] == []


def test_no_name_is_listed_twice() -> None:
    names = read_list("outer_names.txt")
    assert [name for name, count in Counter(names).items() if count > 1] == []
