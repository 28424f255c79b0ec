"""What tests read of the hosts that they start."""

from hosts import Host


def test_log_line_that_is_half_written_is_no_event_yet(tmp_path):
    """A test failed on the last line of a log that its host was still writing."""
    host = Host.__new__(Host)
    whole = '{"event": "a", "n": 1}\n'
    with (tmp_path / "host.log").open("a+") as host.log:
        host.log.write(whole + '{"event": "a", "te')
        assert host.list_events("a") == [{"event": "a", "n": 1}]
        host.log.write('xt": "b"}\n')
        assert len(host.list_events("a")) == 2
