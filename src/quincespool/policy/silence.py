"""When a peer that has fallen silent is taken to be gone.

Answers hosts that lose their power, freeze or are cut off while they own programs: nobody closes
their connections, and their leases run on. Taken for gone too early, a host that merely stalls
loses its work; too late, programs miss their objective, which leaves most of them about a second.
So a peer is asked before it is judged: one that lives answers within milliseconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

# Between two heartbeats. Shorter ones would cost a host of the largest plan more than its 7 KB/s.
BEAT_MS = 200
# Two heartbeats missed: one is lost now and then.
ASK_MS = 500
# An answer takes a few milliseconds; a process that is short of its processor's time gets it within
# the tenth of a second for which that is dealt out.
ANSWER_MS = 150
# From the last heartbeat on; with a host's lease of a second, whose programs would otherwise wait
# 0.83 s for its end on average.
SILENCE_MS = ASK_MS + ANSWER_MS + 50


class SilenceVerdict(NamedTuple):
    """What to do about silent peers.

    Attributes:
      ask: To be asked whether they live.
      gone: Taken to be gone, each one told once.
    """

    ask: list[str]
    gone: list[str]


class SilenceWatch:
    """Judges the peers that this process watches."""

    def __init__(self) -> None:
        self._asked_ms: dict[str, int] = {}
        self._gone: set[str] = set()

    def check(self, heard_ms: Mapping[str, int], now_ms: int) -> SilenceVerdict:
        """Returns whom to ask and who is gone.

        A process that was itself stopped for a while finds everybody silent; as it asks first, it
        reads what has come meanwhile before it judges.

        Args:
          heard_ms: When each watched peer was last heard, by the same clock.
          now_ms: Steady clock.
        """
        verdict = SilenceVerdict([], [])
        silent = {peer for peer, last_ms in heard_ms.items() if now_ms - last_ms >= ASK_MS}
        self._gone &= silent
        self._asked_ms = {peer: at_ms for peer, at_ms in self._asked_ms.items() if peer in silent}
        for peer in sorted(silent - self._gone):
            asked_ms = self._asked_ms.get(peer)
            if asked_ms is None:
                self._asked_ms[peer] = now_ms
                verdict.ask.append(peer)
            elif now_ms - asked_ms >= ANSWER_MS and now_ms - heard_ms[peer] >= SILENCE_MS:
                self._gone.add(peer)
                verdict.gone.append(peer)
        return verdict

    def due_ms(self, heard_ms: Mapping[str, int], now_ms: int) -> int:
        """Returns for how long `check` has nothing to say, if nothing more is heard; not negative.

        Answers idle hosts: checked at a fixed pace, silence takes more wake-ups than all callers.

        Args:
          heard_ms: When each watched peer was last heard, by the same clock.
          now_ms: Steady clock.
        """
        last_ms = [at_ms for peer, at_ms in heard_ms.items() if peer not in self._gone]
        return max(0, min(last_ms, default=now_ms) + ASK_MS - now_ms)


# Events of a stream come every few tens of milliseconds, and an engine's streams don't all pause at
# once; a whole answer takes about as long as the last ones.
QUIET_MS = 250
QUIET_LATENCIES = 3


def is_quiet_too_long(silent_ms: float, latency_ms: float) -> bool:
    """Whether a backend server that owes answers has said nothing for so long that it may be gone.

    Answers engines that lose their power: their connections stay open, and callers leave a stream
    only after two seconds without an event, longer than most programs can spare. A new connection
    tells whether the host lives, so a wrong suspicion costs just that.

    Args:
      silent_ms: Since anything came on any of its connections.
      latency_ms: Its usual time to an answer's first byte, 0 if that is not known.
    """
    return quiet_due_ms(silent_ms, latency_ms) <= 0


def quiet_due_ms(silent_ms: float, latency_ms: float) -> float:
    """Returns for how much longer a backend server may say nothing; see `is_quiet_too_long`."""
    return QUIET_MS + QUIET_LATENCIES * max(0.0, latency_ms) - silent_ms
