"""Detects failed peers and backend servers by their silence.

Detects hosts that lose power, freeze or are cut off from the network while they own programs:
nobody closes their connections, and their leases remain valid until they expire. If a host that
merely stalls is declared failed too early, it loses its work; if a failed one is detected too late,
its programs miss their objective, which leaves most of them about a second. A silent peer is
therefore probed before it is declared failed: a running peer answers within milliseconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

# Time between two heartbeats. Heartbeats use 7 KB/s of a host's bandwidth in the largest planned
# cluster; with a shorter interval they would use more.
HEARTBEAT_INTERVAL_MS = 200
# A peer is probed after two missed heartbeats, since a single one is lost now and then.
PROBE_AFTER_MS = 500
# An answer to a probe takes a few milliseconds; a process whose CPU quota is used up runs again
# within the tenth of a second that a quota period lasts.
PROBE_TIMEOUT_MS = 150
# Silence after which a peer is declared failed, counted from its last heartbeat. A host's lease is
# one second; programs of a failed host would otherwise wait 0.83 s on average until it expires.
PEER_TIMEOUT_MS = PROBE_AFTER_MS + PROBE_TIMEOUT_MS + 50


class PeerCheck(NamedTuple):
    """What to do about silent peers.

    Attributes:
      to_probe: Peers to be probed now.
      failed: Peers that are declared failed now; a peer is listed only once per silence.
    """

    to_probe: list[str]
    failed: list[str]


class FailureDetector:
    """Declares a peer failed if it neither sends heartbeats nor answers a probe."""

    def __init__(self) -> None:
        self._probed_ms: dict[str, int] = {}
        self._failed: set[str] = set()

    def check(self, received_ms: Mapping[str, int], now_ms: int) -> PeerCheck:
        """Returns which peers to probe and which have failed.

        To a process that was itself stopped for a while, all peers look silent. As it probes them
        first, it reads the messages that arrived meanwhile before it declares anyone failed.

        Args:
          received_ms: When the last message of each watched peer was received, by the clock of
            `now_ms`.
          now_ms: Steady clock.
        """
        found = PeerCheck([], [])
        silent = {
            peer for peer, last_ms in received_ms.items() if now_ms - last_ms >= PROBE_AFTER_MS
        }
        self._failed &= silent
        self._probed_ms = {peer: at_ms for peer, at_ms in self._probed_ms.items() if peer in silent}
        for peer in sorted(silent - self._failed):
            probed_ms = self._probed_ms.get(peer)
            if probed_ms is None:
                self._probed_ms[peer] = now_ms
                found.to_probe.append(peer)
            elif (
                now_ms - probed_ms >= PROBE_TIMEOUT_MS
                and now_ms - received_ms[peer] >= PEER_TIMEOUT_MS
            ):
                self._failed.add(peer)
                found.failed.append(peer)
        return found

    def next_check_in_ms(self, received_ms: Mapping[str, int], now_ms: int) -> int:
        """Returns for how many ms `check` finds no peer if no message arrives; not negative.

        This saves wake-ups on idle hosts: checks at a fixed interval would cause more of them than
        all callers do.

        Args:
          received_ms: When the last message of each watched peer was received, by the clock of
            `now_ms`.
          now_ms: Steady clock.
        """
        last_ms = [at_ms for peer, at_ms in received_ms.items() if peer not in self._failed]
        return max(0, min(last_ms, default=now_ms) + PROBE_AFTER_MS - now_ms)


# A backend server is suspected after a silence of BACKEND_SILENCE_MS plus BACKEND_SILENCE_LATENCIES
# times its latency. Events of a stream come every few tens of milliseconds, and the streams of an
# engine don't all pause at once; a complete answer takes about as long as the previous ones.
BACKEND_SILENCE_MS = 250
BACKEND_SILENCE_LATENCIES = 3


def is_silent_too_long(silent_ms: float, latency_ms: float) -> bool:
    """Whether a backend server with calls in flight has been silent so long that it may be down.

    Detects engines that lose power: their connections stay open, and callers cancel a stream only
    after two seconds without an event, longer than most programs can spare. A new connection shows
    whether the host is up, so a wrong suspicion costs no more than that connection.

    Args:
      silent_ms: Time since any data arrived on any of its connections.
      latency_ms: Its usual time to the first byte of an answer; 0 if that is not known.
    """
    return remaining_silence_ms(silent_ms, latency_ms) <= 0


def remaining_silence_ms(silent_ms: float, latency_ms: float) -> float:
    """Returns how much longer a backend server may be silent; see `is_silent_too_long`."""
    return BACKEND_SILENCE_MS + BACKEND_SILENCE_LATENCIES * max(0.0, latency_ms) - silent_ms
