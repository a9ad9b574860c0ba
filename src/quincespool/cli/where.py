"""`quincespool where`: the address that a caller should use."""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from quincespool.cli.command import command
from quincespool.cli.daemon_client import ask_daemon
from quincespool.cli.errors import CommandError
from quincespool.cli.output import print_json


class _Place(msgspec.Struct):
    address: str
    member: str
    zone: str
    good_for_ms: int


@command("daemon", "program")
def where(*, daemon: str, program: str = "", json: bool = False) -> int:
    """Prints the address that a caller should use, and for how long.

    Any daemon serves any caller; this one is the nearest to the program's owner.

    Examples:
      quincespool where --daemon 10.0.0.7:8080
      quincespool where --daemon 10.0.0.7:8080 --program order-17/checker

    Args:
      daemon: IP:PORT, the http address of any daemon.
      program: Program id; leave it out for a program that has not begun.
      json: Print JSON.
    """
    query = f"?program={quote(program, safe='')}" if program else ""
    found = ask_daemon(daemon, "GET", f"/v1/where{query}")
    if json:
        print_json(found)
        return 0
    try:
        place = msgspec.convert(found, type=_Place)
    except msgspec.ValidationError as error:
        raise CommandError(f"{daemon} answered no address: {error}; check --daemon") from error
    print(f"{place.address} ({place.member} in {place.zone}), good for {place.good_for_ms} ms")
    return 0
