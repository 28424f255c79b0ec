import pytest

from thornlatch.core import build_status_line
from thornlatch.exceptions import ANSWERS


@pytest.mark.parametrize("status", [-200, 0, 99, 100, 199, 600, 999, 2000])
def test_no_answer_is_written_with_a_status_of_none(status):
    with pytest.raises(ValueError, match="status"):
        build_status_line(status)


def test_status_lines_of_answers():
    assert build_status_line(200) == "200 OK"
    assert build_status_line(599) == "599 Unknown"
    for answer in ANSWERS.values():
        assert build_status_line(answer.status).startswith(f"{answer.status} ")
