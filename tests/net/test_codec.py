"""Tests of the codec."""

from __future__ import annotations

from typing import Any
from typing import get_args

import capnp
import pytest
from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.core.messages import Datagram
from quincespool.core.messages import ForwardText
from quincespool.core.messages import Message
from quincespool.net import codec

_VALUES: dict[type, st.SearchStrategy[Any]] = {
    int: st.integers(min_value=-(2**63), max_value=2**63 - 1),
    str: st.text(st.characters(codec="utf-8")),
    bytes: st.binary(),
    bool: st.booleans(),
    float: st.floats(allow_nan=False),
}
for _type, _strategy in _VALUES.items():
    st.register_type_strategy(_type, _strategy)


@seed(1)
@settings(max_examples=20, deadline=None)
@given(data=st.data())
@pytest.mark.parametrize("kind", [*get_args(Message), *get_args(Datagram), codec.Hello])
def test_every_message_survives_the_round_trip(kind: type[Any], data: st.DataObject) -> None:
    message = data.draw(st.from_type(kind))

    assert codec.decode(codec.encode("m1", message)) == ("m1", message)
    assert type(codec.decode(codec.encode("m1", message)).message) is kind


@seed(1)
@settings(max_examples=300, deadline=None)
@given(data=st.data())
def test_damaged_bytes_are_a_codec_error_or_some_message(data: st.DataObject) -> None:
    """Damaged bytes.

    Symptom: a daemon ends, or a link's handler raises what nobody expects. Events: a bit flips, or
    another program connects to the port. Cause: an error of the library is let through.
    """
    encoded = bytearray(codec.encode("m1", ForwardText(ticket=7, text="abc")))
    for _ in range(data.draw(st.integers(1, 4))):
        encoded[data.draw(st.integers(0, len(encoded) - 1))] = data.draw(st.integers(0, 255))
    damaged = bytes(encoded[: data.draw(st.integers(0, len(encoded)))])
    try:
        decoded = codec.decode(damaged)
    except codec.CodecError:
        return
    assert isinstance(decoded.sender, str)


@pytest.mark.parametrize(
    "message",
    [
        ForwardText(ticket=2**63, text=""),
        ForwardText(ticket=-(2**63) - 1, text=""),
        ForwardText(ticket=1, text="\ud800"),
        ForwardText(ticket=1, text=None),  # type: ignore[arg-type]
    ],
)
def test_values_that_do_not_fit_are_refused_not_changed(message: ForwardText) -> None:
    with pytest.raises(codec.CodecError):
        codec.encode("m1", message)


def test_another_version_or_an_unknown_kind_is_a_codec_error(tmp_path: Any) -> None:
    """Daemons of two releases.

    Symptom: a daemon misreads a message. Events: half of the daemons have been upgraded, one of
    them sends a kind of message that the others don't know. Cause: kind or version not checked.
    """
    text = codec._SCHEMA_PATH.read_text()
    newer = tmp_path / "newer.capnp"
    newer.write_text(
        text.replace("    pingRequest @28", "    brandNew @29 :Hello;\n    pingRequest @28")
    )
    parser = capnp.SchemaParser()
    envelope = parser.load(str(newer), imports=[]).Envelope
    unknown = envelope.new_message(version=codec.PROTOCOL_VERSION, sender="m", brandNew={})
    other = envelope.new_message(version=codec.PROTOCOL_VERSION + 1, sender="m", hello={})

    for message in (unknown, other):
        with pytest.raises(codec.CodecError):
            codec.decode(message.to_bytes())
