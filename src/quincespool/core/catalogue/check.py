"""Checks one catalogue entry by itself, the same way for operators and for daemons.

Whether an edit is accepted depends on this check, so all daemons must come to the same result: it
looks at nothing but the entry, and a release may only make it more lenient.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import NotRequired
from typing import Required
from typing import get_origin
from typing import get_type_hints

import msgspec

from quincespool.core.entries import AccountEntry
from quincespool.core.entries import BackendEntry
from quincespool.core.entries import ClassEntry
from quincespool.core.entries import ServiceEntry

if TYPE_CHECKING:
    from collections.abc import Callable

# Larger integers are not the same number in every JSON reader.
MAX_NUMBER = 2**53 - 1
MAX_PRIORITY = 9
MAX_PORT = 65535

_KINDS: dict[str, type] = {
    "class": ClassEntry,
    "service": ServiceEntry,
    "backend": BackendEntry,
    "account": AccountEntry,
}
_HINTS = {kind: get_type_hints(entry_type) for kind, entry_type in _KINDS.items()}
# `__required_keys__` cannot be used: where annotations are strings, as in `entries`, it does not
# see `Required`, and an entry without an owner would be valid.
_REQUIRED = {
    kind: frozenset(
        key
        for key, hint in get_type_hints(entry_type, include_extras=True).items()
        if get_origin(hint) is Required
        or (entry_type.__total__ and get_origin(hint) is not NotRequired)  # type: ignore[attr-defined]
    )
    for kind, entry_type in _KINDS.items()
}

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}")
_TARGET = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@/-]{0,127}")
_LABEL = re.compile(r"[^\x00-\x1f\x7f\ud800-\udfff]{1,200}")
_HOST = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?|\[[0-9A-Fa-f:.]{2,45}\]")


def check_entry(name: str, entry: object) -> list[str]:
    """Returns the faults of an entry, each naming its key; none if it is valid.

    Args:
      name: Full name, `KIND/NAME`.
      entry: The entry as decoded from JSON.
    """
    kind, _, short_name = name.partition("/")
    if kind not in _KINDS:
        return [f"name: {name!r} must start with one of {', '.join(f'{k}/' for k in _KINDS)}"]
    if not isinstance(entry, dict):
        return [f"{name}: the entry must be an object"]

    faults = []
    if not _NAME.fullmatch(short_name):
        faults.append(f"name: {short_name!r} must be 1 to 128 letters, digits or . _ : @ -")
    if entry.get("kind") != kind:
        faults.append(f"kind: must be {kind!r} as the name {name!r} says")
    faults += [f"{key}: missing" for key in sorted(_REQUIRED[kind] - entry.keys() - {"kind"})]
    for key, value in entry.items():
        if key != "kind":
            faults += _check_key(kind, key, value)
    return faults


def _check_key(kind: str, key: object, value: object) -> list[str]:
    hints = _HINTS[kind]
    if not isinstance(key, str) or key not in hints:
        return [f"{key}: unknown key for kind {kind!r}"]
    try:
        msgspec.convert(value, hints[key])
    except msgspec.ValidationError as error:
        return [f"{key}: {error}"]
    fault = _RULES.get(key, _no_rule)(value)
    return [f"{key}: {fault}"] if fault else []


def _no_rule(_value: object) -> str:
    return ""


def _positive(value: object) -> str:
    if isinstance(value, int) and 0 < value <= MAX_NUMBER:
        return ""
    return f"must be from 1 to {MAX_NUMBER}"


def _priority(value: object) -> str:
    if isinstance(value, int) and 0 <= value <= MAX_PRIORITY:
        return ""
    return f"must be from 0 to {MAX_PRIORITY}"


def _weight(value: object) -> str:
    if isinstance(value, int | float) and 0 <= value <= MAX_NUMBER:
        return ""
    return "must be 0 or more"


def _label(value: object) -> str:
    if isinstance(value, str) and _LABEL.fullmatch(value) and value.strip():
        return ""
    return "must be 1 to 200 printable characters"


def _name(value: object) -> str:
    if isinstance(value, str) and _NAME.fullmatch(value):
        return ""
    return f"{value!r} is not a name"


def _names(value: object) -> str:
    bad = [item for item in _items(value) if not _NAME.fullmatch(str(item))]
    return f"{bad[0]!r} is not a name" if bad else ""


def _targets(value: object) -> str:
    bad = [item for item in _items(value) if not _TARGET.fullmatch(str(item))]
    return f"{bad[0]!r} is not the name of a model or service" if bad else ""


def _serves(value: object) -> str:
    return _targets(value) if _items(value) else "must name at least one model or service"


def _prefixes(value: object) -> str:
    bad = [item for item in _items(value) if not str(item).startswith("/")]
    return f"prefix {bad[0]!r} must start with '/'" if bad else ""


def _address(value: object) -> str:
    host, _, port = str(value).rpartition(":")
    # isdecimal alone also accepts digits of other scripts, which no socket takes.
    valid_port = port.isascii() and port.isdecimal() and len(port) <= 5
    if _HOST.fullmatch(host) and valid_port and 1 <= int(port) <= MAX_PORT:
        return ""
    return f"{value!r} must be HOST:PORT"


def _items(value: object) -> list[object]:
    return value if isinstance(value, list) else []


_RULES: dict[str, Callable[[object], str]] = {
    "owner": _label,
    "zone": _label,
    "budget_tokens": _positive,
    "turn_limit": _positive,
    "program_deadline_ms": _positive,
    "call_limit_ms": _positive,
    "idle_limit_ms": _positive,
    "time_limit_ms": _positive,
    "slots": _positive,
    "concurrent_calls": _positive,
    "tokens_per_minute": _positive,
    "priority": _priority,
    "latency_weight": _weight,
    "cache_weight": _weight,
    "policy": _name,
    "models": _targets,
    "services": _names,
    "accounts": _names,
    "serves": _serves,
    "non_idempotent": _prefixes,
    "address": _address,
}
