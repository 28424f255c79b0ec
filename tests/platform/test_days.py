"""Tables of played days that operators and developers read."""

import json

import pytest

from days import format_days, main, read_day

ROW = {
    "name": "drafts",
    "n": 10,
    "in_aim": 6,
    "late": 1,
    "refused": 2,
    "failed": 1,
    "not_owed": 0,
    "worth": 0.65,
}
REPORT = {
    "G": 0.5,
    "classes": [ROW],
    "zones": [ROW | {"name": "z"}],
    "windows": [ROW | {"name": "0"}],
    "prices": [["store calls", 100, 0.03], ["probes", 1, 0.0001]],
}


def write(tmp_path, name, **changes):
    path = tmp_path / f"{name}.json"
    path.write_text(json.dumps(REPORT | changes))
    return path


def test_figures_of_two_plays_stand_side_by_side(tmp_path):
    after = write(tmp_path, "after", classes=[ROW | {"in_aim": 8, "refused": 0}])
    days = [read_day(write(tmp_path, "before")), read_day(after)]
    lines = format_days(days)
    assert lines[0] == "worth: before 0.500, after 0.500"
    drafts = "| drafts | 10 | 6 / 8 | 1 / 1 | 2 / 0 | 1 / 1 | 0 / 0 | 0.650 / 0.650 |"
    assert drafts in lines
    assert "| store calls | 0.030 / 0.030 |" in lines
    assert not any("probes" in line for line in lines)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"G": "x"}'])
def test_file_that_is_no_report_is_named(tmp_path, capsys, text):
    path = tmp_path / "odd.json"
    path.write_text(text)
    assert main([str(path)]) == 1
    assert str(path) in capsys.readouterr().err


def test_use_is_shown_without_files(capsys):
    assert main([]) == 2
    assert "usage" in capsys.readouterr().err
