"""Pages of hosts and daemons as commands read them."""

import pytest

from thornlatch.cli import run
from thornlatch.cli._exits import EXIT_FAILED, EXIT_OK
from thornlatch.cli._pages import read_page
from thornlatch.core import read_clock
from thornlatch.core.tests.malformed_heads import FAULTS, check_heads

PAGE = b'{"host": "a.1", "ready": true, "confirmed": true}'


@pytest.mark.parametrize("fault", FAULTS)
def test_page_with_a_malformed_head_is_an_error(fault):
    def read(address):
        page = read_page(address, "/", until=read_clock() + 5.0)
        assert (page.status, page.data) in ((0, b""), (200, PAGE))
        assert (page.status == 0) == bool(page.error)
        return page.status == 200

    check_heads(read, PAGE, FAULTS[fault])


@pytest.mark.parametrize("fault", FAULTS)
def test_status_doesn_t_show_a_page_with_a_malformed_head(fault, capsys):
    def read(address):
        status = run(["status", address])
        assert ("unreachable" in capsys.readouterr().out) == (status == EXIT_FAILED)
        return status == EXIT_OK

    check_heads(read, PAGE, FAULTS[fault])
