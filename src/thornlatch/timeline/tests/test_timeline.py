import re
from pathlib import Path

import cappa
import pytest

from thornlatch.cli._timeline import Timeline
from thornlatch.exceptions import InvalidInput
from thornlatch.timeline import (
    EVENT_NAMES,
    EventFilter,
    LoggedEvent,
    encode_event,
    merge_events,
    read_events,
    render_html,
    render_text,
)
from thornlatch.timeline.tests.histories import CORRUPTIONS, build_history

SOURCE = Path(__file__).parents[2]


@pytest.fixture
def logs(tmp_path):
    """Return the log files of a history without violations, one per process."""
    return write_logs(tmp_path, build_history().values())


def write_logs(directory, events):
    paths = {}
    for event in events:
        path = paths.setdefault(event.host, directory / f"{event.host}.jsonl")
        with path.open("ab") as log:
            log.write(encode_event(event) + b"\n")
    return sorted(paths.values())


def run(*arguments):
    return cappa.invoke(Timeline, argv=[str(argument) for argument in arguments])


def test_render_text(logs, snapshot):
    assert "\n".join(render_text(merge_events(read_events(logs)))) == snapshot


def test_render_html_escapes():
    event = LoggedEvent("x", "<script>", detail={"a": "<b> \n"})
    page = "".join(render_html([event]))
    assert "<script>" not in page
    assert "&lt;script&gt;" in page


@pytest.mark.parametrize("wall", [1e300, -1e300, float("inf")])
def test_render_text_time_out_of_range(wall):
    assert list(render_text([LoggedEvent("x", "h", wall=wall)]))


def test_read_events_skips_other_lines(tmp_path):
    path = tmp_path / "log"
    encoded = encode_event(LoggedEvent("x", "h"))
    deep = b"[" * 100_000
    lines = [b'{"level": "info"}', b"\xff\xfe", b"", deep, encoded, encoded[:-4]]
    path.write_bytes(b"\n".join(lines))
    assert [event.event for event in read_events([path])[0]] == ["x"]


def test_read_events_file_missing(tmp_path):
    with pytest.raises(InvalidInput, match="can't read events"):
        read_events([tmp_path / "none"])


@pytest.mark.parametrize(
    ("fields", "count"),
    [
        ({"request": "r"}, 9),
        ({"organisation": "o"}, 5),
        ({"target": "t", "request": "r"}, 4),
        ({"key": "pool:p"}, 3),
        ({}, 17),
    ],
    ids=["request", "organisation", "two", "key", "all"],
)
def test_filter(fields, count):
    selected = EventFilter(**fields)
    assert sum(selected.accepts(event) for event in build_history().values()) == count


def test_command_filters(logs, capsys):
    assert run(*logs, "--request", "q") == 0
    output = capsys.readouterr().out
    assert output.count("\n") == 1
    assert "requests.refused" in output


def test_command_requires_files(capsys):
    with pytest.raises(SystemExit) as caught:
        run()
    assert caught.value.code != 0


def test_command_json(logs, capsys):
    assert run(*logs, "--key", "pool:p", "--json") == 0
    assert capsys.readouterr().out.count('"key":"pool:p"') == 3


def test_command_html(logs, tmp_path):
    page = tmp_path / "page.html"
    assert run(*logs, "--html", page) == 0
    assert page.read_text().count("<tr>") == 18


def test_command_check_without_violation(logs, capsys):
    assert run(*logs, "--check") == 0
    assert capsys.readouterr().out == "0 invariant violations\n"


@pytest.mark.parametrize("name", ["call-run-twice", "evicted-while-granted"])
def test_command_check_with_violation(name, tmp_path, capsys):
    promise, subject, corrupt = CORRUPTIONS[name]
    steps = build_history()
    corrupt(steps)
    assert run(*write_logs(tmp_path, steps.values()), "--check") == 1
    output = capsys.readouterr().out
    assert promise.value in output
    assert subject in output


def test_event_names_documented():
    page = SOURCE.parents[1] / "docs" / "reference" / "events.md"
    rows = re.findall(r"^\| `([a-z_.]+)` \|", page.read_text(), re.MULTILINE)
    assert set(EVENT_NAMES) <= set(rows)


def test_event_names_of_requests_listed():
    emitted = set()
    for path in (SOURCE / "requests").glob("*.py"):
        found = re.findall(r'"((?:requests|quarantine)\.[a-z_]+)"', path.read_text())
        emitted.update(found)
    assert emitted
    assert emitted <= set(EVENT_NAMES)
