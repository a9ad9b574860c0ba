"""The weight store: sends model weights at a rate that all readers share."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from tests.support.standins.http import StandIn
from tests.support.standins.http import run

if TYPE_CHECKING:
    from tests.support.standins.http import Exchange

_PIECE_BYTES = 65536


class WeightKnobs(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Size of every model and the rate of all downloads together; rate 0 sets no limit."""

    size_bytes: int = 1_000_000
    rate_bytes_per_s: float = 0


class WeightStore(StandIn[WeightKnobs]):
    """The weight store; see docs/design/outside-systems.md for its protocol."""

    cancel_on_close = True

    def __init__(self, knobs: WeightKnobs, *, host: str, port: int) -> None:
        super().__init__(knobs, host=host, port=port)
        self._sent_bytes: dict[str, int] = {}
        self._free_at_s = 0.0

    def counts(self) -> dict[str, object]:
        """Bytes sent, by `MODEL/VERSION`."""
        return {"sent_bytes": self._sent_bytes}

    async def handle(self, exchange: Exchange) -> None:
        """Streams the weights of `/weights/MODEL/VERSION`."""
        model = exchange.request.path.removeprefix("/weights/")
        await exchange.start("application/octet-stream")
        left = self.knobs.size_bytes
        while left:
            piece = min(left, _PIECE_BYTES)
            await self._take_turn(piece)
            await exchange.send(bytes(piece))
            self._sent_bytes[model] = self._sent_bytes.get(model, 0) + piece
            left -= piece
        await exchange.finish()

    async def _take_turn(self, piece_bytes: int) -> None:
        if not self.knobs.rate_bytes_per_s:
            return
        now_s = asyncio.get_running_loop().time()
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + piece_bytes / self.knobs.rate_bytes_per_s
        await asyncio.sleep(self._free_at_s - now_s)


def make_weight_store(*, host: str = "127.0.0.1", port: int = 0, **knobs: Any) -> WeightStore:
    """Makes a weight store; `knobs` are the fields of `WeightKnobs`."""
    return WeightStore(WeightKnobs(**knobs), host=host, port=port)


if __name__ == "__main__":
    run(make_weight_store, WeightKnobs)
