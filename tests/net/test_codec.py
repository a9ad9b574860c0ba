"""Tests of the codec."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import get_args

import capnp
import pytest
from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.core import messages
from quincespool.core.messages import ForwardText
from quincespool.net import codec

if TYPE_CHECKING:
    from pathlib import Path

_KINDS = [*get_args(messages.Message), *get_args(messages.Datagram), codec.Hello]
st.register_type_strategy(int, st.integers(min_value=-(2**63), max_value=2**63 - 1))
st.register_type_strategy(str, st.text(st.characters(codec="utf-8")))


@pytest.mark.parametrize("kind", _KINDS)
@seed(1)
@settings(max_examples=20, deadline=None)
@given(data=st.data())
def test_every_message_survives_the_round_trip(kind: type[Any], data: st.DataObject) -> None:
    message = data.draw(st.from_type(kind))
    decoded = codec.decode(codec.encode("m1", message))

    assert type(decoded.message) is kind
    assert decoded.message == message
    assert decoded.sender == "m1"


@seed(1)
@settings(max_examples=300, deadline=None)
@given(data=st.data())
def test_damaged_bytes_are_a_codec_error_or_some_message(data: st.DataObject) -> None:
    """Damaged bytes.

    Symptom: a link's handler raises what nobody expects. Events: another program connects to the
    port, or bytes are damaged. Cause: an error of the library is let through.
    """
    encoded = bytearray(codec.encode("m1", ForwardText(ticket=7, text="abc")))
    for _ in range(data.draw(st.integers(1, 4))):
        encoded[data.draw(st.integers(0, len(encoded) - 1))] = data.draw(st.integers(0, 255))
    try:
        decoded = codec.decode(bytes(encoded[: data.draw(st.integers(0, len(encoded)))]))
    except codec.CodecError:
        return
    assert isinstance(decoded.sender, str)


@pytest.mark.parametrize("ticket", [2**63, 2**64, -(2**63) - 1])
def test_values_that_do_not_fit_are_refused_not_changed(ticket: int) -> None:
    with pytest.raises(codec.CodecError):
        codec.encode("m1", ForwardText(ticket=ticket, text=""))
    with pytest.raises(codec.CodecError):
        codec.encode("m1", ForwardText(ticket=1, text="\ud800"))


def test_another_version_or_an_unknown_kind_is_a_codec_error(tmp_path: Path) -> None:
    """Daemons of two releases.

    Symptom: a daemon misreads a message. Events: half of the daemons are of a newer release and
    send a kind that the others don't know. Cause: kind or version not checked.
    """
    text = codec._SCHEMA_PATH.read_text()
    newer = tmp_path / "newer.capnp"
    member = f"    brandNew @{len(_KINDS) + 2} :Hello;\n"
    newer.write_text(text.replace("    ping @", member + "    ping @"))
    parser = capnp.SchemaParser()
    envelope = parser.load(str(newer), imports=[]).Envelope
    version = codec.PROTOCOL_VERSION
    for message in (
        envelope.new_message(version=version, sender="m", brandNew={}),
        envelope.new_message(version=version + 1, sender="m", hello={}),
    ):
        with pytest.raises(codec.CodecError):
            codec.decode(message.to_bytes())
