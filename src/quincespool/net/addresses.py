"""Addresses in the form `IP:PORT`."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port; an IPv6 number stands in brackets.

    Raises:
      ValueError: if it is not of that form.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{address!r} is not of the form IP:PORT")
    return host.removeprefix("[").removesuffix("]"), int(port)
