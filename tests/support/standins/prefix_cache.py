"""The prefix cache of the model engine: limited tokens, least recently used goes first."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from tests.support.standins.generation import Block


class CacheEvent(NamedTuple):
    """What happened to a program's prefix: `stored`, `evicted` or `released`."""

    kind: str
    program_id: str
    tokens: int


class PrefixCache:
    """Prefixes by the program id that tags them; counts what had to be computed again."""

    def __init__(self, limit_tokens: int) -> None:
        self.limit_tokens = limit_tokens
        self._held: OrderedDict[str, list[Block]] = OrderedDict()
        self._held_tokens = 0
        self._computed: dict[str, list[Block]] = {}

    @property
    def held_tokens(self) -> int:
        """Tokens held for all programs."""
        return self._held_tokens

    def tokens_by_program(self) -> dict[str, int]:
        """Returns the tokens held now, by program id."""
        return {program_id: _tokens(blocks) for program_id, blocks in self._held.items()}

    def cached_tokens(self, program_id: str, blocks: list[Block]) -> int:
        """Returns how many tokens of a prompt need not be computed."""
        return _tokens(_common(self._held.get(program_id, []), blocks))

    def computed_tokens(self, program_id: str, blocks: list[Block]) -> int:
        """Returns how many tokens of a prompt have been computed here at any time."""
        return _tokens(_common(self._computed.get(program_id, []), blocks))

    def store(self, program_id: str, blocks: list[Block]) -> list[CacheEvent]:
        """Holds a computed prefix in place of the program's earlier one."""
        self._computed[program_id] = blocks
        return self.adopt(program_id, blocks)

    def adopt(self, program_id: str, blocks: list[Block]) -> list[CacheEvent]:
        """Holds a prefix that was computed elsewhere (an import)."""
        self.release(program_id)
        self._held[program_id] = list(blocks)
        self._held_tokens += _tokens(blocks)
        return [CacheEvent("stored", program_id, _tokens(blocks)), *self._evict()]

    def blocks(self, program_id: str) -> list[Block]:
        """Returns the prefix held for a program."""
        return list(self._held.get(program_id, []))

    def release(self, program_id: str) -> int:
        """Drops a program's prefix and returns its tokens; harmless if there is none."""
        tokens = _tokens(self._held.pop(program_id, []))
        self._held_tokens -= tokens
        return tokens

    def clear(self) -> None:
        """Drops everything held, as a crash does."""
        self._held.clear()
        self._held_tokens = 0

    def _evict(self) -> list[CacheEvent]:
        events = []
        while self._held_tokens > self.limit_tokens:
            program_id, blocks = next(iter(self._held.items()))
            tokens = blocks.pop().tokens
            self._held_tokens -= tokens
            events.append(CacheEvent("evicted", program_id, tokens))
            if not blocks:
                del self._held[program_id]
        return events


def _tokens(blocks: list[Block]) -> int:
    return sum(block.tokens for block in blocks)


def _common(first: list[Block], second: list[Block]) -> list[Block]:
    length = 0
    while length < min(len(first), len(second)) and first[length] == second[length]:
        length += 1
    return first[:length]
