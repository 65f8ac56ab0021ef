"""Reads operators' TOML files into typed structs, with single-line error messages."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec

StructType = TypeVar("StructType")


def read_toml(path: Path, struct_type: type[StructType], error_type: type[Exception]) -> StructType:
    """Read a TOML file into a struct.

    Args:
        path: The file.
        struct_type: The type to convert its contents to.
        error_type: The type of the error to raise.

    Raises:
        error_type: The file cannot be read, is not valid TOML or does not match the type; the text has the file's path
            and the problem.
    """
    try:
        with path.open("rb") as file:
            return msgspec.convert(tomllib.load(file), struct_type)
    except OSError as error:
        raise error_type(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise error_type(f"{path}: {error}") from None
