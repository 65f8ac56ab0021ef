"""Datagrams between limiters."""

import asyncio

from elderlock.net.peers import PeerTransport
from elderlock.standins.waiting import run, until


def test_datagrams_are_attributed_by_address_and_limited_in_rate() -> None:
    async def test() -> None:
        received: list[tuple[int, bytes]] = []
        now_ms = [0.0]
        loop = asyncio.get_running_loop()

        async def open_socket() -> tuple[asyncio.DatagramTransport, tuple[str, int]]:
            transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0))
            return transport, transport.get_extra_info("sockname")

        (peer, peer_address), (unknown_host, _) = await open_socket(), await open_socket()
        addresses = (("127.0.0.1", 1), peer_address)
        peers = PeerTransport(
            addresses, None, 3.0, lambda sender, data: received.append((sender, data)), lambda: now_ms[0]
        )
        transport, _ = await loop.create_datagram_endpoint(lambda: peers, local_addr=("127.0.0.1", 0))
        address = transport.get_extra_info("sockname")
        unknown_host.sendto(b"unknown", address)
        peer.sendto(b"x" * 257, address)
        for number in range(5):
            peer.sendto(b"%d" % number, address)
        await until(lambda: len(received) == 3)
        now_ms[0] = 1000.0
        peer.sendto(b"last", address)
        await until(lambda: received[-1][1] == b"last")
        assert received[:3] == [(1, b"0"), (1, b"1"), (1, b"2")]
        peers.send(-1, b"to nobody")
        peers.send(1, b"y" * 257)
        assert len(received) == 4

    run(test())
