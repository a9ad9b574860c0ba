"""Tests of the `catalogue` commands against the log service's stand-in."""

from __future__ import annotations

import functools
import json
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import cast

import pytest

from quincespool.cli.catalogue_reader import CatalogueReader
from quincespool.cli.errors import CommandError
from quincespool.cli.log_client import append
from quincespool.cli.publish import publish_edit
from quincespool.core.catalogue.checkpoint import CheckpointWrite

if TYPE_CHECKING:
    from pathlib import Path

    from quincespool.core.catalogue.fold import EditRecord
    from tests.cli.conftest import Cli
    from tests.cli.conftest import Result
    from tests.support.standins.log_service import LogService

NAME = "service/reorders"
SERVICE = {"kind": "service", "owner": "buyers", "non_idempotent": ["/reorders"]}


def service(time_limit_ms: int) -> dict[str, Any]:
    return {**SERVICE, "time_limit_ms": time_limit_ms}


def edit(edit_id: str, *, base_version: int = -1, time_limit_ms: int = 5) -> EditRecord:
    entry = service(time_limit_ms)
    return {
        "kind": "edit",
        "edit_id": edit_id,
        "editor": "abeba",
        "changes": [{"name": NAME, "base_version": base_version, "entry": entry}],
    }


class Operator(NamedTuple):
    """Runs `catalogue` commands against one log service."""

    cli: Cli
    log: LogService
    directory: Path

    def __call__(self, *arguments: str) -> Result:
        return self.cli("catalogue", *arguments, "--log", self.log.address)

    def publish(self, entries: object, *flags: str) -> Result:
        return self("publish", self.file("entries.json", entries), "--editor", "abeba", *flags)

    def file(self, name: str, content: object) -> str:
        (self.directory / name).write_text(json.dumps(content), encoding="utf-8")
        return str(self.directory / name)

    def records(self) -> int:
        appends = self.log.counts().get("appends", {})
        return int(cast("dict[str, int]", appends).get("catalogue", 0))


@pytest.fixture
def operator(cli: Cli, log: LogService, tmp_path: Path) -> Operator:
    return Operator(cli, log, tmp_path)


def test_published_entries_are_in_force(operator: Operator) -> None:
    assert operator.publish({NAME: service(5)}).out.startswith("accepted as version 0")
    assert "nothing to publish" in operator.publish({NAME: service(5)}).out
    assert operator.publish({NAME: service(6)}).code == 0

    shown = json.loads(operator("show", "--json").out)
    assert shown["entries"] == {NAME: {"version": 1, "entry": service(6)}}
    versions = operator("history", NAME).out.splitlines()
    assert versions == [f"version {number}  set by abeba  owner buyers" for number in range(2)]
    changes = operator("diff", operator.file("next.json", {NAME: service(7)})).out
    assert changes.splitlines()[1:] == ["  - time_limit_ms: 6", "  + time_limit_ms: 7"]
    assert operator.publish({NAME: None}).code == 0
    assert operator("show", NAME).code == 1


def test_an_edit_from_an_old_version_loses_and_says_to_whom(operator: Operator) -> None:
    operator.publish({NAME: service(5)})
    base = operator.file("base.json", json.loads(operator("show", "--json").out))
    operator.publish({NAME: service(6)}, "--editor", "hanna")

    lost = operator.publish({NAME: service(7)}, "--base", base)
    assert lost.code == 1
    assert "(owner buyers) was changed by hanna in version 1" in lost.err
    assert operator("history").out.count("lost:") == 1


@pytest.mark.parametrize(
    ("entries", "names"),
    [
        ({NAME: {**service(5), "time_limit_s": 1}}, "time_limit_s"),
        ({NAME: SERVICE}, "time_limit_ms"),
        ({"shop/reorders": service(5)}, "shop/reorders"),
        ([], "object"),
        ({}, "no entries"),
    ],
)
def test_a_faulty_file_is_refused_before_anything_is_written(
    operator: Operator, entries: object, names: str
) -> None:
    result = operator.publish(entries)
    assert result.code == 2
    assert names in result.err
    assert operator.records() == 0


@pytest.mark.parametrize("fault", ["lose_after_write", "lose_before_write"])
def test_a_lost_answer_leads_to_exactly_one_record(operator: Operator, fault: str) -> None:
    """An edit is written twice, or not at all.

    Symptom: the command fails although the edit is in force, or it is in the log twice. Events: the
    log service resets the connection of the append. Cause: whether it had written was guessed.
    """
    setattr(operator.log.knobs, fault, 1)
    assert operator.publish({NAME: service(5)}).code == 0
    assert operator.records() == 1


def test_an_outage_is_told_truthfully(operator: Operator) -> None:
    """The command says "not published" of an edit that counts later.

    Symptom: an edit comes into force that its editor believes refused. Events: the answer to the
    append is lost, then reads are out until the time limit. Cause: no answer was taken for "no".
    """
    log = operator.log
    log.knobs.appends_out = True
    refused = operator.publish({NAME: service(5)}, "--time_limit_s", "0")
    assert (refused.code, operator.records()) == (1, 0)
    assert "nothing was written" in refused.err

    log.knobs.appends_out = False
    reader = CatalogueReader(log.address)
    reader.advance()
    log.knobs.lose_after_write = 1
    log.knobs.reads_out = True
    with pytest.raises(CommandError, match="not known whether edit e1 counts"):
        publish_edit(reader, edit("e1"), time_limit_s=0)

    log.knobs.reads_out = False
    found = operator.publish({NAME: service(5)}, "--edit-id", "e1")
    assert (found.code, operator.records()) == (0, 1)


def test_of_two_racing_editors_one_is_told_that_it_lost(log: LogService) -> None:
    """Both editors are told "accepted", and one edit reverts the other.

    Symptom: an accepted configuration disappears. Events: both have read the same version and
    append at once. Cause: an edit was judged by what was read before it was appended.
    """
    readers = [CatalogueReader(log.address) for _ in range(2)]
    for reader in readers:
        reader.advance()
    edits = [edit(f"e{number}", time_limit_ms=number + 1) for number in range(2)]
    with ThreadPoolExecutor() as pool:
        publish = functools.partial(publish_edit, time_limit_s=10)
        verdicts = list(pool.map(publish, readers, edits))
    assert sorted(verdict.accepted for verdict in verdicts) == [False, True]


def test_expired_records_are_read_from_a_checkpoint(log: LogService) -> None:
    """The catalogue looks empty, or older than it is.

    Symptom: `show` lists nothing and every edit loses. Events: the first records expire. Cause: the
    reader started from what is left without the state before it.
    """
    reader = CatalogueReader(log.address)
    publish_edit(reader, edit("e0"), time_limit_s=10)
    as_of = reader.fold.next_offset
    checkpoint = CheckpointWrite(reader.fold.to_checkpoint(), as_of=as_of, writer="a", now_ms=0)
    publish_edit(reader, edit("e1", base_version=0, time_limit_ms=6), time_limit_s=10)
    log.knobs.expire_before = {"catalogue": 1}
    with pytest.raises(CommandError, match="expired"):
        CatalogueReader(log.address).advance()

    assert append(log.address, "catalogue", checkpoint.body(0)).is_ok()
    newcomer = CatalogueReader(log.address)
    newcomer.advance()
    assert newcomer.fold.entries() == reader.fold.entries()
    assert newcomer.fold.version_of(NAME) == 1
