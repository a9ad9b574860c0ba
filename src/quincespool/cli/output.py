"""How the commands print what they found."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    print(text.decode())


def print_tree(value: object) -> None:
    """Prints nested objects and arrays as indented `key: value` lines."""
    for line in _lines(value, indent=""):
        print(line)


def print_error(message: str) -> None:
    """Prints one line on standard error."""
    print(f"quincespool: {' '.join(message.split())}", file=sys.stderr)


def _lines(value: object, *, indent: str) -> Iterator[str]:
    if isinstance(value, dict) and value:
        for key, item in value.items():
            if isinstance(item, dict | list) and item:
                yield f"{indent}{key}:"
                yield from _lines(item, indent=indent + "  ")
            else:
                yield f"{indent}{key}: {_text(item)}"
    elif isinstance(value, list) and value:
        for item in value:
            first, *others = _lines(item, indent=indent + "  ")
            yield f"{indent}- {first.lstrip()}"
            yield from others
    else:
        yield f"{indent}{_text(value)}"


def _text(value: object) -> str:
    if isinstance(value, str) and value.isprintable():
        return value
    return msgspec.json.encode(value).decode()
