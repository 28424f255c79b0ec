"""Tests of the commands that read and change the sessions of hosts."""

import json

from thornlatch.cli._exits import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from thornlatch.core import encode_record
from thornlatch.membership import (
    Accused,
    Expelled,
    SessionOpened,
    ViewAcknowledged,
)

SESSIONS = (
    SessionOpened("a.1", "10.0.0.1:1", "north"),
    SessionOpened("b.1", "10.0.0.2:1", "south"),
    ViewAcknowledged("a.1", 1),
    Accused("a.1", "b.1", 2),
)
EXPELLED = (*SESSIONS, Expelled("a.1", 3, "b.1"))


def set_records(service, *records, first_offset=0):
    service.first_offsets["control"] = first_offset
    service.streams["control"] = [
        {"offset": offset, "time": 0.0, "value": encode_record(record)}
        for offset, record in enumerate(records, start=first_offset)
    ]


def list_hosts(call):
    status, out, _ = call("host", "list", "--json")
    assert status == EXIT_OK
    return {row["host"]: row for row in json.loads(out)}


def test_list_hosts(call, service):
    set_records(service, *SESSIONS)
    hosts = list_hosts(call)
    assert hosts["a.1"]["state"] == "accused"
    assert hosts["a.1"]["accusers"] == ["b.1"]
    assert hosts["b.1"]["is_voter"] and hosts["b.1"]["may_own"]
    assert call("host", "list")[1] == (
        "a.1: accused, offset 0, failure domain north, voter, not heard by b.1\n"
        "b.1: member, offset 1, failure domain south, voter\n"
    )


def test_list_expelled_host_until_it_is_removed(call, service):
    set_records(service, *EXPELLED)
    assert list_hosts(call)["a.1"]["wait"] == "slow"
    assert call("host", "remove", "a.1", "c.1")[0] == EXIT_OK
    assert list_hosts(call).keys() == {"b.1"}


def test_list_hosts_of_a_trimmed_log(call, service):
    set_records(service, *SESSIONS[2:], first_offset=2)
    status, _, err = call("host", "list")
    assert status == EXIT_FAILED
    assert "thornlatch host clear" in err


def test_clear_hosts(call, service):
    set_records(service, *SESSIONS[2:], first_offset=2)
    assert call("host", "clear")[0] == EXIT_USAGE
    assert call("host", "clear", "--all-ended")[0] == EXIT_OK
    assert list_hosts(call) == {}
    joined = SessionOpened("c.1", "10.0.0.3:1", "north")
    next_offset = service.streams["control"][-1]["offset"] + 1
    service.streams["control"].append(
        {"offset": next_offset, "time": 0.0, "value": encode_record(joined)}
    )
    assert list_hosts(call)["c.1"]["may_own"]
