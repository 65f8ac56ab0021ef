"""The strict RESP2 parser: the result does not depend on how the bytes are split."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from elderlock.net.resp import AnswerReader, CommandReader, ProtocolError

COMMANDS = b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n*1\r\n$3\r\na\r\n\r\n"
ANSWER = b"*3\r\n$7\r\nva\r\n$1\r\r\n:12\r\n$7\r\nqueue=2\r\n"


def read_commands(data: bytes, split_points: list[int]) -> list[list[bytes]]:
    reader, commands = CommandReader(), []
    for start, end in zip([0, *split_points], [*split_points, len(data)], strict=True):
        reader.feed(data[start:end])
        while (command := reader.next_message()) is not None:
            commands.append(command)
    return commands


@given(st.lists(st.integers(0, len(COMMANDS))).map(sorted))
def test_commands_split_anywhere_are_read(split_points: list[int]) -> None:
    assert read_commands(COMMANDS, split_points) == [[b"PING", b""], [b"a\r\n"]]


@given(st.lists(st.integers(0, len(ANSWER))).map(sorted))
def test_answer_split_anywhere_is_read(split_points: list[int]) -> None:
    reader, answers = AnswerReader(), []
    for start, end in zip([0, *split_points], [*split_points, len(ANSWER)], strict=True):
        reader.feed(ANSWER[start:end])
        if (answer := reader.next_message()) is not None:
            answers.append((end, answer))
    assert [answer for _, answer in answers] == [(b"va\r\n$1\r", b"queue=2")]
    assert answers[0][0] == len(ANSWER)
    assert not reader.pending_bytes()


@given(st.binary(max_size=40))
def test_random_bytes_raise_no_other_error_than_protocol_error(data: bytes) -> None:
    for reader in (CommandReader(), AnswerReader()):
        try:
            reader.feed(data)
            while reader.next_message() is not None:
                pass
        except ProtocolError:
            pass


@pytest.mark.parametrize("data", [b"*1\r\n$4\r\nPINGx", b"*1\r\n$4\r\nPING\rx", b"*1\r\n$70000\r\n", b"*17\r\n", b"P"])
def test_wrong_length_is_refused_before_more_is_read(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        read_commands(data, [])
