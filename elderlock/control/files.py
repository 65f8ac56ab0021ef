"""Read operators' TOML files into typed structs, with one plain line of error."""

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
        struct_type: The type that its contents have to fit.
        error_type: The type of the error to raise.

    Raises:
        error_type: The file cannot be read, is no TOML or does not fit; the text names the file and what is wrong.
    """
    try:
        with path.open("rb") as file:
            return msgspec.convert(tomllib.load(file), struct_type)
    except OSError as error:
        raise error_type(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise error_type(f"{path}: {error}") from None
