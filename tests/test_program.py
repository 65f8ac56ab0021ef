"""The limiter as a process: start, reload and termination."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest
from programs import connect_when_ready, free_port, start_program

from elderlock.spawning import spawn
from elderlock.standins.clients import Client
from elderlock.standins.discovery import Discovery
from elderlock.standins.servers import Server
from elderlock.standins.settings import raw_config, target
from elderlock.standins.waiting import run, until
from elderlock.standins.world import ROOT


def test_sigterm_ends_the_program_with_all_accepted_requests_answered(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def behave(command: list[bytes]) -> bytes:
            await release.wait()
            return b"*3\r\n$4\r\nlast\r\n$-1\r\n$-1\r\n"

        server = await Server(behave).start()
        agent = await Discovery({"rev": 1, "all": True, "targets": [target("s", server.endpoint)]}).start()
        port = free_port()
        raw = raw_config(f"127.0.0.1:{port}", "%s:%d" % agent.address)
        process = await start_program(tmp_path / "config.json", raw)
        client = await connect_when_ready(port)
        client.read("open")
        await until(lambda: len(server.commands) == 1)
        late = await Client.connect(port)  # its request is sent just after the signal
        process.send_signal(signal.SIGTERM)
        late.read("late")
        await until(lambda: len(server.commands) == 2)
        release.set()
        assert [await client.answer(), await client.answer()] == [b"last", None]
        assert [await late.answer(), await late.answer()] == [b"last", None]
        assert await process.wait() == 0

    run(test())


@pytest.mark.parametrize("text", ["{", "[]", "5", None])
def test_bad_configuration_ends_the_program_with_one_line(text: str | None, tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if text is not None:
            path.write_text(text)
        process = await spawn(
            sys.executable,
            "-B",
            "-m",
            "elderlock",
            cwd=ROOT,
            env={**os.environ, "PROXY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, error = await process.communicate()
        assert process.returncode == 2
        assert error.count(b"\n") == 1
        assert error.startswith(b"elderlock: ")

    run(test())


def test_reload_follows_the_new_discovery_address_and_keeps_open_requests(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def behave(command: list[bytes]) -> bytes:
            await release.wait()
            return b"*3\r\n$6\r\nanswer\r\n$-1\r\n$-1\r\n"

        server = await Server(behave).start()
        complete_list = {"rev": 9, "all": True, "targets": [target("s", server.endpoint)]}
        old, new = await Discovery(complete_list).start(), await Discovery({**complete_list, "rev": 2}).start()
        port = free_port()
        raw = raw_config(f"127.0.0.1:{port}", "%s:%d" % old.address)
        path = tmp_path / "config.json"
        process = await start_program(path, raw)
        client = await connect_when_ready(port)
        client.read("open")
        await until(lambda: len(server.commands) == 1)
        assert process.stderr is not None
        bad_settings = {**raw["settings"], "services": [{**raw["settings"]["services"][0], "effect": "twice"}]}
        moved = {**raw, "discovery": "%s:%d" % new.address}
        for bad in (
            "{",
            json.dumps({**moved, "settings": bad_settings}),
            json.dumps({**moved, "discovery": "nowhere"}),
        ):
            path.write_text(bad)  # a bad file is logged in one line, and nothing changes
            process.send_signal(signal.SIGHUP)
            while b"reload failed, the configuration is unchanged" not in await process.stderr.readline():
                pass
        assert not new.requested_paths
        path.write_text(json.dumps({**raw, "discovery": "%s:%d" % new.address}))
        process.send_signal(signal.SIGHUP)
        await until(lambda: len(new.watches) == 1)
        await until(lambda: old.lost == len(old.requested_paths))
        assert new.requested_paths[-1].endswith("after=2")
        release.set()
        assert await client.answer() == b"answer"
        assert await client.ask("next") == b"answer"
        assert server.lost == 0  # the connections to the server stay open
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(test())
