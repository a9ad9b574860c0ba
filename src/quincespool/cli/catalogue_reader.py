"""Reads the `catalogue` stream to its end, as the daemons do."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.cli.errors import CommandError
from quincespool.cli.log_client import RecordsExpiredError
from quincespool.cli.log_client import read_page
from quincespool.core.catalogue.checkpoint import CheckpointCollector
from quincespool.core.catalogue.checkpoint import load_state
from quincespool.core.catalogue.reducer import CatalogueFold

if TYPE_CHECKING:
    from quincespool.core.catalogue.checkpoint import Completed
    from quincespool.core.catalogue.fold import EditResult

STREAM = "catalogue"


class CatalogueReader:
    """The catalogue as far as it has been read.

    Attributes:
      fold: What is in force.
      edits: The verdicts on the edits that the log still keeps, oldest first, repeats left out.
    """

    def __init__(self, log: str) -> None:
        self.log = log
        self.fold = CatalogueFold()
        self.edits: list[EditResult] = []
        self._gap_start: int | None = None
        self._pending: list[tuple[int, bytes]] = []
        self._collector = CheckpointCollector()

    def advance(self) -> None:
        """Reads on to the end of the stream.

        Raises:
          LogUnavailableError: if the log service cannot be read.
          CommandError: if records have expired that no checkpoint in the log stands for.
        """
        while self._read_page():
            pass
        if self._gap_start is not None:
            raise CommandError(
                f"the catalogue's records before {self._gap_start} have expired and the log holds"
                " no checkpoint of them; a running daemon writes one, try again after that"
            )

    def _read_page(self) -> bool:
        """Reads one page; returns whether there is more."""
        try:
            page = read_page(self.log, STREAM, self._next_offset())
        except RecordsExpiredError as expired:
            self._gap_start = expired.earliest_offset
            self._pending.clear()
            self._collector.clear()
            return True
        for record in page.records:
            self._take(record.offset, bytes(record.body))
        return bool(page.records) and self._next_offset() < page.end_offset

    def _next_offset(self) -> int:
        if self._gap_start is None:
            return self.fold.next_offset
        return self._pending[-1][0] + 1 if self._pending else self._gap_start

    def _take(self, offset: int, body: bytes) -> None:
        if self._gap_start is None:
            self._apply(offset, body)
            return
        self._pending.append((offset, body))
        completed = self._collector.add(offset, body, keep_state=True)
        if completed:
            self._bridge_gap(completed)

    def _bridge_gap(self, completed: Completed) -> None:
        # A checkpoint from before the gap's end leaves out edits that nobody can read now; taking
        # it would show a catalogue that never was.
        if completed.key.as_of < max(self._gap_start or 0, self.fold.next_offset):
            return
        fold = load_state(completed.state, next_offset=completed.key.as_of)
        if fold is None:
            return
        self.fold = fold
        self._gap_start = None
        pending, self._pending = self._pending, []
        for offset, body in pending:
            if offset >= fold.next_offset:
                self._apply(offset, body)

    def _apply(self, offset: int, body: bytes) -> None:
        result = self.fold.apply(offset, body)
        if result and not result.repeated:
            self.edits.append(result)
