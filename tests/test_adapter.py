"""The adapter for the simulator: events in, actions out, and the error messages on malformed input."""

import io
import json
import subprocess
import sys
from pathlib import Path

import pytest

from elderlock.adapter import WireError, serve

ROOT = Path(__file__).parent.parent
FACTS = {
    "ordinal": 0,
    "peers-total": 2,
    "quantum": 4.0,
    "zone": 0,
    "membership-mode": "automatic",
    "unknown-key": [1],
    "services": [{"name": "read", "goal-time": 1000.0, "deadline": 3000.0, "effect": "free", "odd": 1}],
    "plans": [{"name": "basic", "price": 1.0, "quota-rate": 5.0, "burst": 10.0}],
    "rules": {"drain-grace": 250.0, "cold": 9000.0, "cold-share": 0.2, "tip-multiple": 2.0, "fall": 1000.0},
    "policy-limits": {"most-tries": 4},
    "prices": {},
    "objective-mix": {},
    "family-info": {},
    "report": {"how": "silent", "fields": []},
}
BORN = f"born seed=1 facts={json.dumps(FACTS)}"
LIST = "list slot=0 rows=1\nitem server=s_a hall=0 family-type=0 cluster=0 stage-state=Running power-hint=1"
REQUEST = "inbound ref=r-1 width=1 plan=0 cost-units=1 give-up-at=9999 caller=u:x grade=0 from-no=0 new-field=7"


def answer_of_batch(*events: str) -> str:
    sink = io.StringIO()
    text = "mark at-time=1000 serial=1\ntarget_instance limiter=3\n" + "\n".join(events) + "\neof_batch\n"
    serve(io.StringIO(text), sink)
    return sink.getvalue()


def test_a_request_is_sent_and_unknown_fields_and_keys_are_ignored() -> None:
    reply = answer_of_batch(BORN, LIST, "endpoints rev=1 slot=0 form=remembered", REQUEST)
    assert "as limiter=3\n" in reply
    assert "send ref=r-1 server=s_a" in reply
    assert reply.endswith("done serial=1\n")


def test_outcome_full_is_decoded_and_the_request_is_retried() -> None:
    settled = "settled ref=r-1 shot=0 server=s_a status=254 spent=2.5 usage=3"
    reply = answer_of_batch(BORN, LIST, "endpoints rev=1 slot=0 form=all", REQUEST, settled)
    assert reply.count("send ref=r-1") == 2


def test_power_off_removes_the_instance() -> None:
    with pytest.raises(WireError, match="instance 3: due: the instance is not running"):
        answer_of_batch(BORN, "power_off", "due tag=1")


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("nonsense a=1", "instance 3: message 'nonsense' is not known"),
        (REQUEST.replace("plan=0 ", ""), "instance 3: inbound: field 'plan' is missing"),
        (REQUEST.replace("plan=0", "plan=x"), "instance 3: inbound: field 'plan' is ill-typed: 'x'"),
        (REQUEST.replace("give-up-at=9999", "give-up-at=nan"), "field 'give-up-at' is ill-typed"),
        ("mail author=1 payload=%%%", "instance 3: mail: field 'payload' is ill-typed"),
        ("settled ref=r shot=0 server=s status=7 spent=1", "field 'status' is ill-typed"),
        ("endpoints rev=1 slot=5 form=all", "field 'slot' is 5, but there was no list with this slot"),
        ("due tag", "'tag' is not a name=value pair"),
        ("born seed=1 facts={", "field 'facts' is not JSON"),
        ("born seed=1 facts={}", "field 'facts': 'rules' is missing or not known"),
    ],
)
def test_error_names_the_malformed_message_and_field(line: str, message: str) -> None:
    with pytest.raises(WireError) as caught:
        answer_of_batch(BORN, line)
    assert message in str(caught.value)


def test_malformed_input_ends_the_process_with_one_line() -> None:
    completed = subprocess.run(
        [sys.executable, "-B", "-m", "elderlock.adapter"],
        input="mark at-time=1 serial=1\ntarget_instance limiter=0\nodd x=1\neof_batch\n",
        text=True,
        capture_output=True,
        cwd=ROOT,
    )
    assert completed.returncode == 2
    assert completed.stderr == "elderlock: instance 0: message 'odd' is not known\n"
    assert completed.stdout == ""
