"""Operators' files: TOML held against a form, and one plain line where it does not fit."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T")


def read_toml(path: Path, form: type[T], error: type[Exception]) -> T:
    """Raises `error` with a text that names the file and what is wrong with it."""
    try:
        with path.open("rb") as file:
            return msgspec.convert(tomllib.load(file), form)
    except OSError as failed:
        raise error(f"{path}: {failed.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as failed:
        raise error(f"{path}: {failed}") from None
