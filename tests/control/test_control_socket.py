"""The control socket of the real limiter: modes, stale sockets, noise, many connections, wrong files."""

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
from programs import Program, look

from elderlock.control import messages as m
from elderlock.control.attach import read_operators_file, read_records_file
from elderlock.control.framing import encode_frame
from elderlock.control.records import Record
from elderlock.control.server_status import exclusion_reason
from elderlock.control.transport import bind_unix_socket
from elderlock.interface import Routing
from elderlock.net.config import ConfigError
from elderlock.standins.boxes import Server
from elderlock.standins.waiting import run


def test_the_state_shows_answers_and_servers_and_a_stop_ends_the_process(tmp_path: Path) -> None:
    async def test() -> None:
        server = await Server().start()
        program = Program(tmp_path, server)
        process = await program.start()
        caller = await program.caller()
        assert stat.S_IMODE(program.socket.stat().st_mode) == 0o600
        assert stat.S_IMODE(program.socket.parent.stat().st_mode) == 0o700
        client = await program.client()
        for n in range(3):
            assert await client.ask(f"r{n}") == b"value"
        await client.ask("over", t="tiny", units=4)
        state = await look(caller)
        assert (state.limiter, state.pid, state.ready) == ("n0", process.pid, True)
        assert (state.counts.served, state.counts.total(), state.plans["team"].served) == (3, 4, 3)
        assert state.accounts["00000000b4d65521"].total() == 4
        (box,) = state.servers
        assert (box.uid, box.state, box.queue, box.unavailable_reason) == ("s-0", "running", 2, "")
        assert box.latency_ms >= 0 and box.report_age_ms >= 0 and state.answer_p50_ms > 0
        assert set(state.config_parts) >= {"plans", "services", "rules", "limits"}
        drain = Record("box", "s-0", True, 1, "o", "an", 0.0)
        applied = await caller.request(m.ApplyRecords(caller.next_request_id(), (drain,)), 10.0)
        assert (
            isinstance(applied, m.RecordsApplied)
            and applied.records == (drain,)
            and applied.drained_open_requests == {"s-0": 0}
        )
        count = len(server.commands)
        refused = await client.ask("none-left")
        assert str(refused).startswith("BUSY") and len(server.commands) == count
        assert (await look(caller)).servers[0].unavailable_reason == "drained by an"
        assert isinstance(await caller.request(m.Stop(caller.next_request_id()), 10.0), m.Stopping)
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
        for n in range(8):
            assert await client.ask(f"r{n}") == b"value"
        assert (len(drained.commands), len(other.commands)) == (0, 8)
        await program.end()

    run(test())


def test_servers_in_the_limiters_zone_are_preferred_where_routing_is_configured(tmp_path: Path) -> None:
    async def test() -> None:
        home, away = await Server().start(), await Server().start()
        program = Program(tmp_path, home, away)
        path = tmp_path / "config.json"
        raw = json.loads(path.read_text())
        raw["known"]["targets"][1]["az"] = "b"  # the limiter stands on floor a
        path.write_text(json.dumps(raw))
        program.operators.write_text(program.operators.read_text() + "[routing]\naway_ms = 500.0\n")
        await program.start()
        client = await program.client()
        for n in range(12):
            assert await client.ask(f"r{n}") == b"value"
        assert (len(home.commands), len(away.commands)) == (12, 0)
        await program.end()

    run(test())


def test_the_reason_why_a_server_gets_no_requests_is_reported() -> None:
    gate = start_harness(limiter_settings(limiter_count=6), server_ids="abcdefgh")
    boxes = gate.limiter.endpoints
    server = boxes.servers["c"]
    assert exclusion_reason(boxes, server, gate.now_ms) == ""
    for _ in range(3):
        boxes.outlier_detector.record_failure(server, 8, boxes.directory.total_weight_milli)
    assert exclusion_reason(boxes, server, server.reinstate_at_ms - 1500.0) == "3 failures in a row, back in 1.5 s"
    gate.now_ms = boxes.context.now_ms = server.reinstate_at_ms
    boxes.review_due_servers()
    assert exclusion_reason(boxes, server, gate.now_ms) == "on trial, one request at a time"
    config = replace(limiter_settings(limiter_count=6), routing=Routing(subset_size=4))
    boxes = start_harness(config, server_ids="abcdefghijklmnopqrstuvwx").limiter.endpoints
    told = {name: exclusion_reason(boxes, one, 0.0) for name, one in boxes.servers.items()}
    assert {name for name, why in told.items() if not why} == {
        one.entry.server_id for one in boxes.candidates.all.members()
    }
    assert set(told.values()) == {"", "not in this limiter's subset"}


@pytest.mark.parametrize(
    ("operators", "records", "message"),
    [
        ("[control\n", None, "operators.toml: "),
        ('[control]\nsocket = "s"\nsoket = "x"\n', None, "unknown field `soket`"),
        ("[control]\nsocket = 5\n", None, "Expected `str`, got `int`"),
        ("[routing]\nsubset = 3\n", None, "[routing] subset is 3: 0 for all boxes, or 8 at least"),
        ("[routing]\naway_ms = -1.0\n", None, "Expected `float` >= 0.0"),
        ("[routing]\nsubsets = 30\n", None, "unknown field `subsets`"),
        (None, b"\xc1 damaged", "the drains in it cannot be read"),
    ],
)
def test_a_wrong_file_ends_the_start_with_one_line(
    operators: str | None, records: bytes | None, message: str, tmp_path: Path
) -> None:
    """Above all where the drains cannot be read: to start without them would send work to a drained box."""

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
    first.close()  # dead: the file stays behind
    assert path.exists()
    second = bind_unix_socket(path)
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    second.close()
    path.unlink()
    path.write_text("precious")
    with pytest.raises(OSError, match="is no socket"):
        bind_unix_socket(path)
    assert path.read_text() == "precious"


def test_a_directory_that_others_can_enter_is_refused(tmp_path: Path) -> None:
    (tmp_path / "open").mkdir(mode=0o755)
    (tmp_path / "open").chmod(0o755)
    with pytest.raises(OSError, match="must be our own with mode 0700, it has 0755"):
        bind_unix_socket(tmp_path / "open" / "c.sock")


NOISE = [b"\xff" * (10 << 20), encode_frame(b"\xc1\xc1"), encode_frame(msgspec.msgpack.encode({"type": "fly"}))]


@pytest.mark.parametrize("first", NOISE, ids=["noise", "no message", "unknown message"])
def test_noise_on_the_socket_costs_the_limiter_nothing(first: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        server = await Server().start()
        program = Program(tmp_path, server)
        await program.start()
        caller = await program.caller()
        reader, writer = await asyncio.open_unix_connection(str(program.socket))
        try:
            writer.write(first)
            await writer.drain()
            while await reader.read(1 << 16):
                pass
        except ConnectionError:
            pass
        client = await program.client()
        assert await client.ask("served") == b"value"
        assert (await look(caller)).counts.served == 1
        await program.end()

    run(test())


def test_a_thousand_connections_lock_out_neither_the_agent_nor_clients(tmp_path: Path) -> None:
    async def test() -> None:
        server = await Server().start()
        program = Program(tmp_path, server)
        process = await program.start()
        caller = await program.caller()
        crowd = []
        for n in range(1000):
            sock = socket.socket(socket.AF_UNIX)
            sock.setblocking(False)
            # a full backlog refuses: what is not taken in costs nothing either
            sock.connect_ex(str(program.socket))
            crowd.append(sock)
            if n % 50 == 0:
                await look(caller)
        client = await program.client()
        assert await client.ask("served") == b"value"
        assert (await look(caller)).counts.served == 1
        held = [os.readlink(f"/proc/{process.pid}/fd/{fd}") for fd in os.listdir(f"/proc/{process.pid}/fd")]
        assert sum(name.startswith("socket:") for name in held) < 40
        for sock in crowd:
            sock.close()
        await program.end()

    run(test())
