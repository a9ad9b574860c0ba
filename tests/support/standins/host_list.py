"""The platform's host list: shows the truth late, or frozen, empty or wrong on command."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any
from typing import TypedDict

import msgspec

from tests.support.standins.http import StandIn
from tests.support.standins.http import run

if TYPE_CHECKING:
    from tests.support.standins.http import Exchange


class Host(TypedDict):
    """One host: `state` is `live` or `leaving`, `role` is `entry` or `backend`."""

    address: str
    state: str
    role: str


class HostKnobs(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The truth and how it is bent.

    Attributes:
      hosts: The truth; set by control.
      lag_ms: How late a change shows.
      stale: Go on showing what was shown last.
      empty: Show nothing.
      wrong: Hosts shown in place of the truth; None for the truth.
    """

    hosts: list[Host] = []
    lag_ms: float = 0
    stale: bool = False
    empty: bool = False
    wrong: list[Host] | None = None


class HostList(StandIn[HostKnobs]):
    """The host list; see docs/design/outside-systems.md for its protocol."""

    def __init__(self, knobs: HostKnobs, *, host: str, port: int) -> None:
        super().__init__(knobs, host=host, port=port)
        self._history: list[tuple[float, list[Host]]] = [(0, knobs.hosts)]
        self._shown = knobs.hosts
        self._reads = 0

    def counts(self) -> dict[str, object]:
        """How often it was read."""
        return {"reads": self._reads}

    def controlled(self) -> None:
        """Notes when the truth changed."""
        if self.knobs.hosts != self._history[-1][1]:
            self._history.append((time.monotonic(), self.knobs.hosts))

    async def handle(self, exchange: Exchange) -> None:
        """Answers `GET /hosts`."""
        self._reads += 1
        if not self.knobs.stale:
            until_s = time.monotonic() - self.knobs.lag_ms / 1000
            self._shown = [hosts for at_s, hosts in self._history if at_s <= until_s or not at_s][
                -1
            ]
        shown = self._shown if self.knobs.wrong is None else self.knobs.wrong
        await exchange.reply(200, {"hosts": [] if self.knobs.empty else shown})


def make_host_list(*, host: str = "127.0.0.1", port: int = 0, **knobs: Any) -> HostList:
    """Makes a host list; `knobs` are the fields of `HostKnobs`."""
    return HostList(HostKnobs(**knobs), host=host, port=port)


if __name__ == "__main__":
    run(make_host_list, HostKnobs)
