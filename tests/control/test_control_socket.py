"""The control socket of a limiter process: file modes, stale sockets, garbage input, many connections, invalid files."""

import asyncio
import json
import os
import socket
import stat
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from helpers import limiter_settings, start_harness
from programs import Program, get_limiter_state

from elderlock.control import messages
from elderlock.control.attach import read_operators_file, read_records_file
from elderlock.control.framing import encode_frame
from elderlock.control.records import Record
from elderlock.control.server_status import exclusion_reason
from elderlock.control.transport import bind_unix_socket
from elderlock.interface import Routing
from elderlock.net.config import ConfigError
from elderlock.standins.servers import Server
from elderlock.standins.waiting import run


def test_the_state_shows_answers_and_servers_and_a_stop_ends_the_process(tmp_path: Path) -> None:
    async def test() -> None:
        server = await Server().start()
        program = Program(tmp_path, server)
        process = await program.start()
        control = await program.connect_control()
        assert stat.S_IMODE(program.socket.stat().st_mode) == 0o600
        assert stat.S_IMODE(program.socket.parent.stat().st_mode) == 0o700
        client = await program.client()
        for number in range(3):
            assert await client.ask(f"r{number}") == b"value"
        await client.ask("over", t="tiny", units=4)
        state = await get_limiter_state(control)
        assert (state.limiter, state.pid, state.ready) == ("n0", process.pid, True)
        assert (state.counts.served, state.counts.total(), state.plans["team"].served) == (3, 4, 3)
        assert state.accounts["00000000b4d65521"].total() == 4
        (status,) = state.servers
        assert (status.uid, status.state, status.queue, status.unavailable_reason) == ("s-0", "running", 2, "")
        assert status.latency_ms >= 0 and status.report_age_ms >= 0 and state.answer_p50_ms > 0
        assert set(state.config_parts) >= {"plans", "services", "rules", "limits"}
        record = Record("box", "s-0", True, 1, "o", "an", 0.0)
        applied = await control.request(messages.ApplyRecords(control.next_request_id(), (record,)), 10.0)
        assert (
            isinstance(applied, messages.RecordsApplied)
            and applied.records == (record,)
            and applied.drained_open_requests == {"s-0": 0}
        )
        command_count = len(server.commands)
        refused = await client.ask("none-left")
        assert str(refused).startswith("BUSY") and len(server.commands) == command_count
        assert (await get_limiter_state(control)).servers[0].unavailable_reason == "drained by an"
        assert isinstance(await control.request(messages.Stop(control.next_request_id()), 10.0), messages.Stopping)
        assert await process.wait() == 0
        assert not program.socket.exists()

    run(test())


def test_drains_in_the_records_file_are_in_force_before_the_first_request(tmp_path: Path) -> None:
    async def test() -> None:
        drained, other = await Server().start(), await Server().start()
        program = Program(tmp_path, drained, other)
        records = (Record("box", "s-0", True, 1, "o", "an", 0.0),)
        (tmp_path / "records").write_bytes(msgspec.msgpack.encode(records))
        await program.start()
        client = await program.client()
        for number in range(8):
            assert await client.ask(f"r{number}") == b"value"
        assert (len(drained.commands), len(other.commands)) == (0, 8)
        await program.end()

    run(test())


def test_servers_in_the_limiters_zone_are_preferred_where_routing_is_configured(tmp_path: Path) -> None:
    async def test() -> None:
        near, far = await Server().start(), await Server().start()
        program = Program(tmp_path, near, far)
        path = tmp_path / "config.json"
        raw = json.loads(path.read_text())
        raw["known"]["targets"][1]["az"] = "b"  # the limiter is in zone a
        path.write_text(json.dumps(raw))
        program.operators.write_text(program.operators.read_text() + "[routing]\naway_ms = 500.0\n")
        await program.start()
        client = await program.client()
        for number in range(12):
            assert await client.ask(f"r{number}") == b"value"
        assert (len(near.commands), len(far.commands)) == (12, 0)
        await program.end()

    run(test())


def test_the_reason_why_a_server_gets_no_requests_is_reported() -> None:
    harness = start_harness(limiter_settings(limiter_count=6), server_ids="abcdefgh")
    endpoints = harness.limiter.endpoints
    server = endpoints.servers["c"]
    assert exclusion_reason(endpoints, server, harness.now_ms) == ""
    for _ in range(3):
        endpoints.outlier_detector.record_failure(server, 8, endpoints.directory.total_weight_milli)
    assert exclusion_reason(endpoints, server, server.reinstate_at_ms - 1500.0) == "3 failures in a row, back in 1.5 s"
    harness.now_ms = endpoints.context.now_ms = server.reinstate_at_ms
    endpoints.review_due_servers()
    assert exclusion_reason(endpoints, server, harness.now_ms) == "on trial, one request at a time"
    settings = replace(limiter_settings(limiter_count=6), routing=Routing(subset_size=4))
    endpoints = start_harness(settings, server_ids="abcdefghijklmnopqrstuvwx").limiter.endpoints
    reasons = {uid: exclusion_reason(endpoints, server, 0.0) for uid, server in endpoints.servers.items()}
    assert {uid for uid, reason in reasons.items() if not reason} == {
        server.entry.server_id for server in endpoints.candidates.all.members()
    }
    assert set(reasons.values()) == {"", "not in this limiter's subset"}


@pytest.mark.parametrize(
    ("operators", "records", "message"),
    [
        ("[control\n", None, "operators.toml: "),
        ('[control]\nsocket = "s"\nsoket = "x"\n', None, "unknown field `soket`"),
        ("[control]\nsocket = 5\n", None, "Expected `str`, got `int`"),
        ("[routing]\nsubset = 3\n", None, "[routing] subset is 3: use 0 for all servers, or at least 8"),
        ("[routing]\naway_ms = -1.0\n", None, "Expected `float` >= 0.0"),
        ("[routing]\nsubsets = 30\n", None, "unknown field `subsets`"),
        (None, b"\xc1 damaged", "the drain records cannot be read"),
    ],
)
def test_an_invalid_file_ends_the_process_at_start_with_one_line(
    operators: str | None, records: bytes | None, message: str, tmp_path: Path
) -> None:
    """A limiter that started without the drain records in its file would send requests to drained servers."""

    async def test() -> None:
        program = Program(tmp_path)
        if operators is not None:
            program.operators.write_text(operators)
        if records is not None:
            (tmp_path / "records").write_bytes(records)
        process = await program.start()
        _, error = await process.communicate()
        assert process.returncode == 2
        assert error.startswith(b"elderlock: ") and error.count(b"\n") == 1 and message in error.decode()

    run(test())


def test_without_a_control_table_there_is_no_socket(tmp_path: Path) -> None:
    path = tmp_path / "operators.toml"
    path.write_text("")
    assert read_operators_file(path).control is None
    assert read_records_file(tmp_path / "none") == ()
    with pytest.raises(ConfigError, match="No such file"):
        read_operators_file(tmp_path / "none")


def test_a_stale_socket_is_removed_and_a_live_one_is_not(tmp_path: Path) -> None:
    path = tmp_path / "run" / "c.sock"
    first = bind_unix_socket(path)
    first.listen()
    with pytest.raises(OSError, match="in use by another process"):
        bind_unix_socket(path)
    first.close()  # as if its process had died: the socket file stays
    assert path.exists()
    second = bind_unix_socket(path)
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    second.close()
    path.unlink()
    path.write_text("precious")
    with pytest.raises(OSError, match="is not a socket"):
        bind_unix_socket(path)
    assert path.read_text() == "precious"


def test_a_directory_that_others_can_enter_is_refused(tmp_path: Path) -> None:
    (tmp_path / "open").mkdir(mode=0o755)
    (tmp_path / "open").chmod(0o755)
    with pytest.raises(
        OSError, match=f"must belong to this user with mode 0700: its owner is {os.geteuid()}, its mode 0755"
    ):
        bind_unix_socket(tmp_path / "open" / "c.sock")


INVALID_INPUT = [b"\xff" * (10 << 20), encode_frame(b"\xc1\xc1"), encode_frame(msgspec.msgpack.encode({"type": "fly"}))]


@pytest.mark.parametrize("data", INVALID_INPUT, ids=["garbage", "no message", "unknown message"])
def test_invalid_input_on_the_socket_does_not_affect_the_limiter(data: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        server = await Server().start()
        program = Program(tmp_path, server)
        await program.start()
        control = await program.connect_control()
        reader, writer = await asyncio.open_unix_connection(str(program.socket))
        try:
            writer.write(data)
            await writer.drain()
            while await reader.read(1 << 16):
                pass
        except ConnectionError:
            pass
        client = await program.client()
        assert await client.ask("served") == b"value"
        assert (await get_limiter_state(control)).counts.served == 1
        await program.end()

    run(test())


def test_a_thousand_connections_lock_out_neither_the_agent_nor_clients(tmp_path: Path) -> None:
    async def test() -> None:
        server = await Server().start()
        program = Program(tmp_path, server)
        process = await program.start()
        control = await program.connect_control()
        connections = []
        for number in range(1000):
            sock = socket.socket(socket.AF_UNIX)
            sock.setblocking(False)
            # With a full backlog the kernel refuses the connection, which uses no resources of the limiter.
            sock.connect_ex(str(program.socket))
            connections.append(sock)
            if number % 50 == 0:
                await get_limiter_state(control)
        client = await program.client()
        assert await client.ask("served") == b"value"
        assert (await get_limiter_state(control)).counts.served == 1
        descriptors = [os.readlink(f"/proc/{process.pid}/fd/{fd}") for fd in os.listdir(f"/proc/{process.pid}/fd")]
        assert sum(name.startswith("socket:") for name in descriptors) < 40
        for sock in connections:
            sock.close()
        await program.end()

    run(test())
