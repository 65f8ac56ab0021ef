"""Checks that data on sockets outside the typed messages has the same bytes as before the Python names changed.

These are datagrams between limiters, commands and answers in RESP, requests to discovery, and frames. A rename must not
change the bytes in this file.
"""

from __future__ import annotations

import asyncio

import pytest

from elderlock import peer_messages
from elderlock.control.framing import FrameDecoder, encode_frame
from elderlock.gossip import escrow_messages as ceilings
from elderlock.gossip import evidence_messages as wire
from elderlock.load import resp_client as load_resp_client
from elderlock.net import gateway, resp
from elderlock.net.client_commands import CommandParser
from elderlock.net.config import parse_config
from elderlock.net.discovery import ListFollower
from elderlock.net.endpoint_list import EndpointList
from elderlock.peer_messages import (
    Datagram,
    LevelRow,
    Message,
    QuotaAnswer,
    QuotaLevels,
    QuotaQuery,
    UsageReport,
    UsageRow,
)
from elderlock.quota import tally_client as tally
from elderlock.quota.counter_call import CounterCall
from elderlock.standins.local_limiter import Limiter
from elderlock.standins.servers import Server
from elderlock.standins.settings import CUSTOMER, raw_config, target
from elderlock.standins.waiting import run

KEY, MOST_KEY = 0x01020304, 0xFFFFFFFF
NOW = 10_250.4

SINGLES = [
    ("query", 17, QuotaQuery(KEY, 3, 40.7, 254.0, 0xBEEF), "5c1101020304000328febeef", QuotaQuery(KEY, 3, 40, 254, 0xBEEF)),
    ("granted", 255, QuotaAnswer(MOST_KEY, True, 258, 300.0, -1.0, 1), "5cffffffffff0102ff000001", QuotaAnswer(MOST_KEY, True, 2, 255, 0, 1)),
    ("denied", 0, QuotaAnswer(7, False, 0, 12.0, 255.0, 65535), "5c000000000702000cffffff", QuotaAnswer(7, False, 0, 12, 255, 65535)),
]  # fmt: skip
BATCHES = [
    ("usage report", 17, UsageReport((UsageRow(KEY, 3, 40, 254), UsageRow(7, 0, 255, 255))), "5d1100010203040328fe0000000700ffff"),
    ("quota levels", 255, QuotaLevels((LevelRow(KEY, 40, 254), LevelRow(7, 0, 1))), "5dff010102030428fe000000070001"),
]  # fmt: skip
EVIDENCE = "5e010000280a6d8357580002010000faf48a06e2ffffff0104e2ffffffff00000002ffff"


@pytest.mark.parametrize(("kind", "latest", "message", "data", "read"), SINGLES)
def test_a_single_message_between_limiters_is_encoded_and_decoded_as_stored(
    kind: str, latest: int, message: Message, data: str, read: Message
) -> None:
    assert peer_messages.encode(latest, message).hex() == data, kind
    assert peer_messages.decode(bytes.fromhex(data)) == Datagram(latest, read)


@pytest.mark.parametrize(("kind", "latest", "message", "data"), BATCHES)
def test_a_batch_of_messages_between_limiters_is_encoded_and_decoded_as_stored(
    kind: str, latest: int, message: Message, data: str
) -> None:
    assert peer_messages.encode(latest, message).hex() == data, kind
    assert peer_messages.decode(bytes.fromhex(data)) == Datagram(latest, message)


def test_a_servers_key_in_a_datagram_is_as_stored() -> None:
    assert (wire.server_key("box-1"), wire.server_key("box-2")) == (0x6D835758, 0xF48A06E2)


def test_health_evidence_of_every_kind_is_encoded_as_stored() -> None:
    observations = [
        wire.Observation(wire.server_key("box-1"), 2, 1, wire.ObservationKind(0), 10_000.0),
        wire.Observation(wire.server_key("box-2"), 65535, wire.UNKNOWN_ZONE, wire.ObservationKind(1), 9_000.0),
        wire.Observation(
            MOST_KEY, 0, 0, wire.ObservationKind(2), -90_000.0
        ),  # older than the greatest age that can be encoded
    ]
    assert wire.encode(observations, NOW).hex() == EVIDENCE


def test_stored_health_evidence_is_decoded_with_its_values() -> None:
    assert wire.is_evidence(bytes.fromhex(EVIDENCE))
    assert wire.decode(bytes.fromhex(EVIDENCE), NOW, 65536) == [
        wire.Observation(0x6D835758, 2, 1, wire.ObservationKind(0), NOW - 250.0),
        wire.Observation(0xF48A06E2, 65535, 255, wire.ObservationKind(1), NOW - 1250.0),
        wire.Observation(MOST_KEY, 0, 0, wire.ObservationKind(2), NOW - 65535.0),
    ]


def test_the_timestamp_of_health_evidence_wraps_around() -> None:
    assert wire.encode([], 4294967296.0 + 5).hex() == "5e0100000005"


def test_a_request_for_ceiling_units_is_encoded_and_decoded_as_stored() -> None:
    request = ceilings.EscrowRequest(KEY, 0xA0B0C0D0, 2, 5, 4, 12.5)
    data = "5f010001020304a0b0c0d0020005000400000c80"
    assert ceilings.encode(request).hex() == data
    assert ceilings.decode(bytes.fromhex(data)) == request


def test_a_grant_of_ceiling_units_is_rounded_down_and_decoded_as_stored() -> None:
    data = "5f01010102030400000340"
    assert ceilings.encode(ceilings.EscrowGrant(KEY, 3.2509765625)).hex() == data
    assert ceilings.decode(bytes.fromhex(data)) == ceilings.EscrowGrant(KEY, 3.25)


def test_a_read_is_forwarded_to_a_server_as_stored() -> None:
    parts = [b"API.READ", CUSTOMER.encode(), b"9b1f", b"c=lookup,t=team,d=3000,units=1,spread=1,first=0,r=1"]
    assert _reader().parse(parts).encode(812.7) == (
        b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n00000000b4d65521\r\n$4\r\n9b1f\r\n"
        b"$50\r\nc=lookup,t=team,d=812,units=1,spread=1,first=0,r=1\r\n"
    )


def test_a_write_is_forwarded_to_a_server_with_its_body_as_stored() -> None:
    parts = [b"API.WRITE", CUSTOMER.encode(), b"9b1f", b"c=pay,t=tiny,d=3000,units=2.5,spread=1,first=0", b"bo\r\ndy"]
    assert _reader().parse(parts).encode(0.2) == (
        b"*5\r\n$9\r\nAPI.WRITE\r\n$16\r\n00000000b4d65521\r\n$4\r\n9b1f\r\n"
        b"$43\r\nc=pay,t=tiny,d=1,units=2.5,spread=1,first=0\r\n$6\r\nbo\r\ndy\r\n"
    )


def _reader() -> CommandParser:
    config = parse_config(raw_config())
    return CommandParser(config.settings, config.socket_settings.largest_request_units)


def test_a_servers_stored_answers_are_parsed_with_value_and_report() -> None:
    reader = resp.AnswerReader()
    reader.feed(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$7\r\nqueue=2\r\n")
    assert reader.next_message() == (b"value", b"queue=2")
    reader.feed(b"*3\r\n$5\r\nvalue\r\n:12\r\n$-1\r\n")
    assert reader.next_message() == (b"value", b"")
    reader.feed(b"-ERR broken\r\n")
    assert reader.next_message() == (None, b"ERR broken")


def test_the_limiters_fixed_answers_are_as_stored() -> None:
    assert gateway.FAILED_ANSWER == b"-ERR failed\r\n"
    assert gateway.BUSY_ANSWER == b"-BUSY\r\n"
    assert gateway.DUPLICATE_ANSWER == b"-ERR a request of this id is open\r\n"


def test_a_client_of_the_limiter_gets_answers_as_stored() -> None:
    async def test() -> None:
        server = await Server().start()
        limiter = await Limiter.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", limiter.port)

        async def asked(command: bytes, answer: bytes) -> None:
            writer.write(command)
            assert await reader.readexactly(len(answer)) == answer

        await asked(b"*1\r\n$4\r\nPING\r\n", b"-LOADING no list of servers yet\r\n")
        limiter.tell(target("s-0", server.endpoint))
        await asked(b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n")
        await asked(b"*1\r\n$4\r\nNONE\r\n", b"-ERR unknown command\r\n")
        await asked(
            b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n00000000b4d65521\r\n$4\r\n9b1f\r\n"
            b"$47\r\nc=lookup,t=team,d=3000,units=1,spread=1,first=0\r\n",
            b"$5\r\nvalue\r\n",
        )
        limiter.clients.is_cordoned = True
        await asked(b"*1\r\n$4\r\nPING\r\n", b"-LOADING drained by an operator\r\n")
        writer.transport.abort()

    run(test())


def test_the_load_generator_writes_a_request_as_stored() -> None:
    assert load_resp_client.command(CUSTOMER, b"9b1f", b"c=lookup,t=team,d=3000") == (
        b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n00000000b4d65521\r\n$4\r\n9b1f\r\n$22\r\nc=lookup,t=team,d=3000\r\n"
    )


def test_a_call_to_the_shared_counter_is_encoded_as_stored() -> None:
    assert tally.encode_call(CounterCall(1, "a:1:2", 2.5, 1500.0)) == (
        b"*4\r\n$5\r\nTALLY\r\n$5\r\na:1:2\r\n$3\r\n2.5\r\n$4\r\n1500\r\n"
    )


def test_a_frame_of_a_message_is_encoded_and_decoded_as_stored() -> None:
    assert encode_frame(b"abc") == bytes.fromhex("00000003616263")
    assert FrameDecoder(16).feed(bytes.fromhex("00000003616263")) == [b"abc"]


def test_a_follower_requests_the_list_from_discovery_and_then_watches_from_its_version() -> None:
    async def test() -> None:
        asked: list[bytes] = []
        both = asyncio.Event()
        body = b'{"rev":7,"all":true,"targets":[{"uid":"s-0","endpoint":"127.0.0.1:1","az":"a","model":"m1","state":"up"}]}'

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(await reader.readuntil(b"\r\n\r\n"))
            if len(asked) == 1:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            else:
                both.set()

        listener = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        told: list[EndpointList] = []
        settings = parse_config(raw_config()).socket_settings
        follower = ListFollower(("127.0.0.1", port), settings, 30.0, lambda _, listed: told.append(listed))
        await both.wait()
        follower.stop()
        listener.close()
        host = b"Host: 127.0.0.1:%d\r\n\r\n" % port
        assert asked[:2] == [
            b"GET /discovery/hosts HTTP/1.1\r\n" + host,
            b"GET /discovery/hosts?watch=1&after=7 HTTP/1.1\r\n" + host,
        ]
        (listed,) = told
        assert (listed.version, listed.is_complete, listed.servers[0].entry.server_id) == (7, True, "s-0")
        assert listed.servers[0].address == ("127.0.0.1", 1)

    run(test())
