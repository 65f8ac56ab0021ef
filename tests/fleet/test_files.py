"""Reading the agent's and the group's file, tokens, and a store whose writes fail."""

import sqlite3
from pathlib import Path

import pytest

from elderlock.control.records import Record
from elderlock.fleet.agent_store import Store, StoreError
from elderlock.fleet.auth import Tokens, read_token
from elderlock.fleet.config import FileError, read_agent, read_group
from elderlock.fleet.messages import AuditLine
from elderlock.standins.stores import FailingConnection
from elderlock.standins.world import write_private_file

AGENT = '[agent]\nname = "a"\nlisten = "127.0.0.1:0"\nstate = "a"\ntokens = "tokens"\n'
LIMITER = '[[limiter]]\nname = "n0"\ncommand = ["x"]\nconfig = "c"\n'
TLS = '[agent.tls]\ncertificate = "c"\nkey = "k"\nca = "a"\n'


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[agent", "Expected"),
        (AGENT.replace('"a"\nlisten', '"a b"\nlisten'), "'a b' is no name for agent"),
        (AGENT.replace("127.0.0.1:0", "localhost:1"), "agent.listen: 'localhost' does not appear"),
        (AGENT.replace("127.0.0.1:0", "127.0.0.1"), "is not an address like"),
        (AGENT.replace("127.0.0.1:0", "10.0.0.1:99"), "10.0.0.1 is not loopback: .* with .agent.tls. only"),
        (AGENT.replace("127.0.0.1:0", "0.0.0.0:99"), "is not loopback"),
        (AGENT + 'sate = "x"\n', "unknown field `sate`"),
        (AGENT + 'group = "g"\n', "agent.group and agent.peer_token have to be set together"),
        (AGENT + LIMITER + LIMITER, "limiter n0 is listed twice"),
        (AGENT + LIMITER.replace('["x"]', "[]"), "limiter n0 has no command"),
        (AGENT + LIMITER + f'control = "{"x" * 120}"\n', "is too long for a socket"),
        (AGENT + "[supervise]\ncrashes = 0\n", "at least one crash"),
        (AGENT + '[supervise]\nwindow = "x"\n', "Expected `float`"),
    ],
)
def test_an_error_in_an_agent_file_is_reported(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "agent.toml"
    path.write_text(text)
    with pytest.raises(FileError, match=message):
        read_agent(path)


def test_an_address_off_loopback_is_accepted_with_tls_and_a_missing_file_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "agent.toml"
    path.write_text(AGENT.replace("127.0.0.1:0", "10.0.0.1:99") + TLS + LIMITER)
    assert read_agent(path).limiter[0].name == "n0"
    with pytest.raises(FileError, match="No such file"):
        read_agent(tmp_path / "other.toml")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "no .*agent.* is listed"),
        ('[[agent]]\nname = "a"\naddress = "x"\n', "agent a: 'x' is not an address"),
        ('[[agent]]\nname = "a"\naddress = "10.0.0.1:7"\n', "is not on loopback and needs"),
        ('[[agent]]\nname = "a"\naddress = "127.0.0.1:7"\n' * 2, "agent a is listed twice"),
    ],
)
def test_an_error_in_a_group_file_is_reported(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "group.toml"
    path.write_text(text)
    with pytest.raises(FileError, match=message):
        read_group(path)


SECRET = "0123456789abcdef"


def test_a_token_file_that_others_can_read_is_refused(tmp_path: Path) -> None:
    path = write_private_file(tmp_path / "tokens", f"operator an {SECRET}\n")
    path.chmod(0o640)
    for read in (Tokens.read, read_token):
        with pytest.raises(FileError, match=r"others can read it \(mode 0640\)"):
            read(path)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (f"operator an {SECRET}\noperator an {SECRET}x\n", "line 2: an has a token already"),
        ("operator an short\n", "line 1: a token needs at least 16 characters"),
        (f"root an {SECRET}\n", "line 1 is not 'role name token'"),
        (f"an {SECRET}\n", "line 1 is not"),
        ("# nobody\n\n", "it contains no token"),
    ],
)
def test_an_error_in_a_token_file_is_reported_without_its_tokens(text: str, message: str, tmp_path: Path) -> None:
    with pytest.raises(FileError, match=message) as raised:
        Tokens.read(write_private_file(tmp_path / "tokens", text))
    assert SECRET not in str(raised.value) and "short" not in str(raised.value)


def test_a_token_identifies_its_owner_and_is_not_shown(tmp_path: Path) -> None:
    tokens = Tokens.read(write_private_file(tmp_path / "tokens", f"viewer lam {SECRET}\noperator an {SECRET}2\n"))
    lam, an = tokens.identify(SECRET), tokens.identify(SECRET + "2")
    assert lam is not None and an is not None
    assert [(identity.name, identity.role) for identity in (lam, an)] == [("lam", "viewer"), ("an", "operator")]
    assert tokens.identify(SECRET[:-1]) is None and tokens.identify("") is None
    assert SECRET not in repr(vars(tokens))


# The store

LINE = AuditLine(1.0, "an", "operator", "drain box s-1", 1, "")


def record(target: str, generation: int = 1) -> Record:
    return Record("box", target, True, generation, "o", "an", 5.0, "loud")


def test_stored_data_is_there_after_the_process_was_killed(tmp_path: Path) -> None:
    store = Store(tmp_path / "db")
    assert store.next_epoch() == 1
    line_id = store.save_records([record("s-1"), record("s-2")], LINE)
    store.set_audit_outcome(line_id, "n0: reached")
    store.set_limiter("n0", True, 12, 34)
    # The store is not closed, as if the process was killed.
    reopened = Store(tmp_path / "db")
    assert reopened.records() == (record("s-1"), record("s-2"))
    assert [(line.what, line.reached) for line in reopened.audit(9)] == [("drain box s-1", "n0: reached")]
    assert reopened.limiter("n0") == (True, 12, 34) and reopened.limiter("n9") is None
    assert reopened.next_epoch() == 2
    reopened.delete_records([record("s-1")], LINE)
    assert reopened.records() == (record("s-2"),)


def test_a_change_is_atomic_whichever_of_its_writes_fails(tmp_path: Path) -> None:
    """BEGIN, each record, the audit line, the removal of old lines and COMMIT fail in turn.

    After each failure nothing of the change is stored, and the same change succeeds when it is repeated."""
    FailingConnection.countdown, FailingConnection.writes = -1, 0
    store = Store(tmp_path / "db", FailingConnection)
    before = FailingConnection.writes
    store.save_records([record("s-0"), record("s-00")], LINE)
    write_count = FailingConnection.writes - before
    assert write_count >= 6
    for failing_write in range(1, write_count + 1):
        FailingConnection.countdown = failing_write
        change = [record(f"s-{failing_write}"), record(f"t-{failing_write}")]
        records, lines = store.records(), store.audit(99)
        with pytest.raises(StoreError, match="disk I/O error"):
            store.save_records(change, LINE)
        assert store.records() == records and store.audit(99) == lines
        store.save_records(change, LINE)
        assert set(store.records()) - set(records) == set(change)
    assert Store(tmp_path / "db").records() == store.records()


def test_stored_data_stays_when_the_disk_is_full(tmp_path: Path) -> None:
    store = Store(tmp_path / "db")
    store.save_records([record("s-1")], LINE)
    page_count = store._db.execute("PRAGMA page_count").fetchone()[0]
    store._db.execute(f"PRAGMA max_page_count={page_count}")
    with pytest.raises(StoreError, match="full"):
        store.save_records([Record("box", f"s-{n}", True, 1, "o" * 400, "an", 5.0) for n in range(100)], LINE)
    assert store.records() == (record("s-1"),)
    store._db.execute("PRAGMA max_page_count=1000000")
    store.save_records([record("s-2")], LINE)
    assert len(store.records()) == 2


def test_writing_to_a_locked_store_fails_in_bounded_time_and_succeeds_after_the_lock(tmp_path: Path) -> None:
    store = Store(tmp_path / "db")
    other = sqlite3.connect(tmp_path / "db", isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    with pytest.raises(StoreError, match="locked"):
        store.save_records([record("s-1")], LINE)
    other.execute("ROLLBACK")
    store.save_records([record("s-1")], LINE)
    assert len(store.records()) == 1


@pytest.mark.parametrize("damage", [b"no database at all" * 100, None])
def test_a_damaged_store_is_moved_and_kept(damage: bytes | None, tmp_path: Path) -> None:
    path = tmp_path / "db"
    if damage is None:
        store = Store(path)
        store.save_records([record(f"s-{n}") for n in range(200)], LINE)
        store.close()
        content = bytearray(path.read_bytes())
        content[4096:12288] = b"\xff" * 8192  # whole pages of a file whose header is intact
        damage = bytes(content)
    path.write_bytes(damage)
    store = Store(path)
    assert store.damaged_file is not None and store.damaged_file.read_bytes() == damage
    assert store.records() == ()
    store.save_records([record("s-1")], LINE)
    assert Store(path).damaged_file is None


def test_a_store_of_a_later_schema_version_is_not_changed(tmp_path: Path) -> None:
    path = tmp_path / "db"
    Store(path)._db.execute("PRAGMA user_version=99")
    with pytest.raises(StoreError, match="version 99 is of a later elderlock"):
        Store(path)
    assert not list(tmp_path.glob("*damaged*"))


def test_the_example_files_can_be_used(tmp_path: Path) -> None:
    """Operators copy the example files, so they have to be valid."""
    folder = Path(__file__).parent.parent.parent / "deploy"
    assert read_agent(folder / "agent.example.toml").limiter[0].name == "n0"
    assert [agent.name for agent in read_group(folder / "group.example.toml").agent] == ["floor-2", "floor-3"]
