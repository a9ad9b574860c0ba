"""Tokens that were handed out while the store is away, and that no durable record tells of yet."""

from __future__ import annotations

# Of the most that a turn may generate, the usual one hands out less than this part.
USUAL_SHARE = 1 / 3


class UncertainTokens:
    """Bounds what the next owner of a partition would not know of, by program.

    If this daemon dies, or was superseded, before the store is back, the next owner lets a program
    spend these tokens once more. So a program gets no more of them than one turn may generate: the
    budget is exceeded by one turn at most, whatever happens.
    """

    def __init__(self) -> None:
        self._tokens: dict[str, int] = {}
        self._open: dict[str, int] = {}

    def may_begin(self, program_id: str, most_tokens: int) -> bool:
        """Whether one more turn of a program can be expected to end within the bound."""
        turns = self._open.get(program_id, 0) + 1
        expected = self._tokens.get(program_id, 0) + turns * most_tokens * USUAL_SHARE
        return expected <= most_tokens

    def begin(self, program_id: str) -> None:
        """Counts a turn whose start is not durable."""
        self._open[program_id] = self._open.get(program_id, 0) + 1

    def end(self, program_id: str) -> None:
        """Takes a turn off again."""
        left = self._open.get(program_id, 0) - 1
        if left > 0:
            self._open[program_id] = left
        else:
            self._open.pop(program_id, None)

    def hand_out(self, program_id: str, tokens: int, most_tokens: int) -> bool:
        """Counts tokens; false if they are beyond the bound and must not be handed out."""
        total = self._tokens.get(program_id, 0) + tokens
        if total > most_tokens:
            return False
        self._tokens[program_id] = total
        return True

    def clear(self) -> None:
        """Everything that was submitted is durable."""
        self._tokens.clear()
