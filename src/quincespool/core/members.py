"""Who the daemons of a deployment are, as placement and routing see them."""

from __future__ import annotations

from typing import NamedTuple


class Member(NamedTuple):
    """One daemon.

    Attributes:
      member_id: Name of the daemon, unique in the deployment; stays over restarts.
      incarnation: Grows with every start of the daemon (milliseconds of its start).
      zone: Availability zone.
      host: IP number.
      http_port: Where callers and operators connect.
      peer_port: Where daemons connect (TCP) and send datagrams (UDP).
      draining: Whether it is leaving in a planned stop and takes nothing new.
    """

    member_id: str
    incarnation: int
    zone: str
    host: str
    http_port: int
    peer_port: int
    draining: bool = False
