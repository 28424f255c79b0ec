import io
import json
import threading
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest

from standins._http import Response
from thornlatch.cli._exits import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_OK,
    EXIT_UNKNOWN,
)
from thornlatch.cli._leases import NoLeases
from thornlatch.configuration import (
    Configuration,
    ConfigurationChanged,
    ConfigurationPublished,
    ConfigurationSettings,
    KeyIssued,
    KeyWithdrawn,
    decode_entry,
    digest_key,
)
from thornlatch.core import encode_record

ADDED_ORGANISATION = '\n[[organisations]]\nname = "club"\nrate = 1\nburst = 1\n'


def read_records(service):
    entries = service.streams.get("configuration", [])
    return [decode_entry(entry["value"]) for entry in entries]


def add_records(service, *values):
    entries = service.streams.setdefault("configuration", [])
    first_offset = service.first_offsets.get("configuration", 0)
    for value in values:
        entries.append(
            {"offset": first_offset + len(entries), "time": 0.0, "value": value}
        )


def test_publish(call, inventory, service):
    status, out, _ = call("config", "publish", inventory)
    assert (status, out) == (
        EXIT_OK,
        "in force at offset 0: organisations add 1, pools add 1, targets add 1\n",
    )
    assert isinstance(read_records(service)[0], ConfigurationPublished)


def test_publish_delta(call, inventory, service):
    call("config", "publish", inventory)
    inventory.write_text(inventory.read_text() + ADDED_ORGANISATION)
    status, out, _ = call("config", "publish", inventory, "--json")
    assert status == EXIT_OK
    assert json.loads(out)["changes"] == [
        {"action": "add", "kind": "organisations", "name": "club"}
    ]
    record = read_records(service)[1]
    assert isinstance(record, ConfigurationChanged)
    assert [o.name for o in record.upserts.organisations] == ["club"]


def test_publish_nothing_new(call, inventory, service):
    call("config", "publish", inventory)
    status, out, _ = call("config", "publish", inventory)
    assert (status, out) == (EXIT_OK, "in force at offset 0: no change\n")
    assert len(read_records(service)) == 1


def test_publish_old_base(call, inventory, service):
    call("config", "publish", inventory)
    status, _, err = call("config", "publish", inventory, "--base", "-1")
    assert status == EXIT_CONFLICT
    assert "configuration-conflict" in err
    assert len(read_records(service)) == 1


def test_publish_race(call, inventory, service):
    """Two operators read the same state and append before seeing each other's record.

    Only the first record on the log may take effect.
    """
    barrier = threading.Barrier(2, timeout=10)
    service.before_append = barrier.wait
    with ThreadPoolExecutor(2) as executor:
        publish = partial(call, "config", "publish", inventory)
        results = executor.map(lambda name: publish(author=name), ("ana", "bo"))
    statuses = [status for status, _, _ in results]
    assert sorted(statuses) == [EXIT_OK, EXIT_CONFLICT]
    assert len(read_records(service)) == 2


@pytest.mark.parametrize(
    ("faults", "status", "message"),
    [
        ({"lose_replies": 1}, EXIT_OK, "in force at offset 0"),
        ({"lose_replies": 3}, EXIT_OK, "in force at offset 0"),
        ({"is_down": True}, EXIT_FAILED, "platform-failed"),
    ],
    ids=["lost-reply", "lost-replies", "outage"],
)
def test_publish_log_fault(call, inventory, service, faults, status, message):
    service.set_faults({}, faults)
    actual_status, out, err = call("config", "publish", inventory)
    assert actual_status == status
    assert message in out + err


@pytest.mark.parametrize("command", ["publish", "issue", "withdraw", "drain"])
def test_append_outcome_unknown(call, inventory, service, command):
    call("config", "publish", inventory)
    inventory.write_text(inventory.read_text() + ADDED_ORGANISATION)
    arguments = {
        "publish": ("config", "publish", inventory),
        "issue": ("key", "issue", "shop"),
        "withdraw": ("key", "withdraw", "0" * 64),
        "drain": ("target", "drain", "api-1"),
    }

    def lose_reply(response):
        service.set_faults({}, {"is_down": True})
        return Response({}, 504)

    service.after_append = lose_reply
    status, out, err = call(*arguments[command])
    assert status == EXIT_UNKNOWN
    assert "outcome-unknown" in err
    assert "key:" not in out
    assert len(read_records(service)) == 2


def test_publish_invalid_file(call, inventory, service):
    inventory.write_text(inventory.read_text().replace("rate = 100", "rate = 0"))
    status, _, err = call("config", "publish", inventory)
    assert status == EXIT_INVALID
    assert "organisations[0].rate" in err
    assert read_records(service) == []


def test_show(call, inventory, service):
    call("config", "publish", inventory)
    add_records(service, {"kind": "KeyIssued", "body": {}}, "not a record")
    status, out, _ = call("config", "show")
    assert status == EXIT_OK
    assert "inventory in force: offset 0\nlast record: offset 2\n" in out
    assert "refused: offset 1, KeyIssued: invalid-record: malformed" in out
    assert "refused: offset 2, record: invalid-record: record has no kind" in out


def test_show_json(call, inventory):
    call("config", "publish", inventory)
    _, out, _ = call("config", "show", "--json")
    value = json.loads(out)
    assert value["state"]["inventory_offset"] == 0
    assert value["refusals"] == []


def test_show_after_retention(call, inventory, service):
    call("config", "publish", inventory)
    call("key", "withdraw", "0" * 64)
    configuration = build_configuration(service)
    add_records(service, encode_record(configuration.build_snapshot()))
    trim(service, 2)
    status, out, _ = call("config", "show")
    assert status == EXIT_OK
    assert "inventory in force: offset 0" in out
    trim(service, 3)
    status, _, err = call("config", "show")
    assert status == EXIT_FAILED
    assert "no snapshot covers" in err


def trim(service, before):
    service.trim({"PATH_INFO": "/trim/configuration"}, {"before": before})


def build_configuration(service):
    configuration = Configuration(ConfigurationSettings(), host="h", leases=NoLeases())
    for offset, record in enumerate(read_records(service)):
        configuration.apply_record(offset, record, now=0.0)
    return configuration


def test_diff(call, inventory, service):
    call("config", "publish", inventory)
    inventory.write_text(
        inventory.read_text().replace("rate = 100", "rate = 7") + ADDED_ORGANISATION
    )
    status, out, _ = call("config", "diff", inventory)
    assert status == EXIT_OK
    assert out == (
        "+ organisations club\n~ organisations shop\n"
        "against offset 0: organisations add 1, organisations replace 1\n"
    )
    assert len(read_records(service)) == 1


def test_issue_key(call, inventory, service):
    call("config", "publish", inventory)
    status, out, _ = call("key", "issue", "shop", "--json")
    value = json.loads(out)
    assert status == EXIT_OK
    assert digest_key(value["key"]) == value["digest"]
    assert isinstance(read_records(service)[1], KeyIssued)
    assert value["key"] not in json.dumps(service.streams)


def test_issue_key_unknown_organisation(call, inventory, service):
    call("config", "publish", inventory)
    status, _, err = call("key", "issue", "nobody")
    assert status == EXIT_INVALID
    assert "nobody" in err
    assert len(read_records(service)) == 1


@pytest.mark.parametrize("source", ["argument", "digest-on-stdin", "key-on-stdin"])
def test_withdraw_key(call, inventory, service, monkeypatch, source):
    call("config", "publish", inventory)
    key = json.loads(call("key", "issue", "shop", "--json")[1])
    text = key["key"] if source == "key-on-stdin" else key["digest"]
    monkeypatch.setattr("sys.stdin", io.StringIO(text + "\n"))
    arguments = [key["digest"]] if source == "argument" else []
    status, out, _ = call("key", "withdraw", *arguments)
    assert (status, out) == (EXIT_OK, f"withdrawn at offset 2: {key['digest']}\n")
    assert read_records(service)[2] == KeyWithdrawn(key["digest"], "ana")
    assert build_configuration(service).view.get_key(key["digest"]) is None


@pytest.mark.parametrize(
    ("arguments", "stdin"), [(["my-secret"], ""), ([], ""), ([], " \n")]
)
def test_withdraw_key_invalid(call, service, monkeypatch, arguments, stdin):
    monkeypatch.setattr("sys.stdin", io.StringIO(stdin))
    status, out, err = call("key", "withdraw", *arguments)
    assert status == EXIT_INVALID
    assert "my-secret" not in out + err
    assert read_records(service) == []


def test_drain_target(call, inventory, service):
    call("config", "publish", inventory)
    assert call("target", "drain", "api-1")[:2] == (
        EXIT_OK,
        "target api-1 is leaving from offset 1\n",
    )
    assert build_configuration(service).view.get_target("api-1").is_leaving
    assert call("target", "drain", "api-1", "--undo")[0] == EXIT_OK
    assert not build_configuration(service).view.get_target("api-1").is_leaving


def test_drain_unknown_target(call, inventory, service):
    call("config", "publish", inventory)
    assert call("target", "drain", "nope")[0] == EXIT_INVALID
    assert len(read_records(service)) == 1


@pytest.mark.parametrize(
    ("faults", "status", "append_count"),
    [
        ({}, EXIT_OK, 1),
        ({"lose_replies": 1}, EXIT_OK, 2),
        ({"lose_replies": 9}, EXIT_UNKNOWN, 3),
        ({"is_down": True}, EXIT_FAILED, 0),
    ],
    ids=["done", "lost-reply", "lost-replies", "outage"],
)
def test_remove_host(call, service, faults, status, append_count):
    service.set_faults({}, faults)
    assert call("host", "remove", "host-1.abc")[0] == status
    values = [entry["value"] for entry in service.streams.get("control", [])]
    body = {"host": "host-1.abc", "by": "ana"}
    assert values == [{"kind": "HostRemoved", "body": body}] * append_count
