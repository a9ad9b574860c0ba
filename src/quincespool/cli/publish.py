"""Publishes one edit of the catalogue and finds out whether it counts."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from quincespool.cli.catalogue_reader import STREAM
from quincespool.cli.errors import CommandError
from quincespool.cli.log_client import append

if TYPE_CHECKING:
    from quincespool.cli.catalogue_reader import CatalogueReader
    from quincespool.core.catalogue.fold import EditRecord
    from quincespool.core.catalogue.fold import EditResult
    from quincespool.core.catalogue.fold import LostTo

_PAUSE_S = 0.2


def publish_edit(reader: CatalogueReader, edit: EditRecord, *, time_limit_s: float) -> EditResult:
    """Appends an edit and returns the verdict on it once it has been read back.

    The answer to an append can be lost after the write. So after any append that may have written,
    the stream is read to its end before the edit is appended again; if a lost first one turns up
    after all, the second is void by its edit id.

    Args:
      reader: A reader of the catalogue; read on here.
      edit: The edit; its id must be new or that of the same edit.
      time_limit_s: How long to go on trying.

    Raises:
      CommandError: if the verdict is not known by then. Says whether the edit may still count.
    """
    give_up_at_s = time.monotonic() + time_limit_s
    publication = _Publication(reader, edit)
    while (verdict := publication.step()) is None:
        if time.monotonic() + publication.pause_s > give_up_at_s:
            raise publication.gave_up()
        time.sleep(publication.pause_s)
    return verdict


def describe_loss(lost_to: LostTo) -> str:
    """Returns one sentence on the version that an edit lost to."""
    if lost_to.version < 0:
        return f"{lost_to.name} is not in the catalogue, but the edit was made from a version of it"
    owner = f" (owner {lost_to.owner})" if lost_to.owner else ""
    return f"{lost_to.name}{owner} was changed by {lost_to.editor} in version {lost_to.version}"


class _Publication:
    """One edit on its way: appended, read back, and appended again only if it is not there."""

    def __init__(self, reader: CatalogueReader, edit: EditRecord) -> None:
        self.pause_s = _PAUSE_S
        self._reader = reader
        self._edit_id = edit["edit_id"]
        self._body = msgspec.json.encode(edit)
        self._acknowledged = False
        self._must_read = False
        self._may_have_written = False
        self._detail = ""

    def step(self) -> EditResult | None:
        """Appends or reads back once; returns the verdict if it is known then."""
        self.pause_s = _PAUSE_S
        if not self._must_read:
            self._append()
        return self._read_back() if self._must_read else None

    def gave_up(self) -> CommandError:
        """Returns what to tell the operator when there is no verdict in time."""
        if not self._may_have_written:
            return CommandError(f"not published, nothing was written: {self._detail}; try later")
        return CommandError(
            f"not known whether edit {self._edit_id} counts: {self._detail};"
            f" run the same command with --edit-id {self._edit_id} to find out"
        )

    def _append(self) -> None:
        appended = append(self._reader.log, STREAM, self._body)
        self._acknowledged = self._must_read = appended.is_ok()
        if appended.is_error():
            fault = appended.error
            self._detail = fault.detail
            self._must_read = fault.may_have_written
            self.pause_s = max(_PAUSE_S, fault.retry_after_s)
        self._may_have_written = self._may_have_written or self._must_read

    def _read_back(self) -> EditResult | None:
        try:
            self._reader.advance()
        except CommandError as error:
            self._detail = str(error)
            return None
        verdict = self._reader.fold.verdict(self._edit_id)
        if verdict is None:
            self._detail = "it has not been read back"
            self._must_read = self._acknowledged
        return verdict
