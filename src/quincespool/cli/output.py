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
    items: list[tuple[str, object]] = []
    if isinstance(value, dict):
        items = [(f"{key}:", item) for key, item in value.items()]
    elif isinstance(value, list):
        items = [("-", item) for item in value]
    for label, item in items:
        if isinstance(item, dict | list) and item:
            yield f"{indent}{label}"
            yield from _lines(item, indent=indent + "  ")
        else:
            yield f"{indent}{label} {_text(item)}"


def _text(value: object) -> str:
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
