from thornlatch.requests._departed_hosts import DepartedHosts


def test_host_departed_after_grace_time():
    hosts = DepartedHosts(2.0)
    hosts.note_members({"a", "b"})
    assert not hosts.has_departed("b", now=0.0)
    hosts.note_members({"a"})
    assert not hosts.has_departed("b", now=5.0)
    assert not hosts.has_departed("b", now=6.9)
    assert hosts.has_departed("b", now=7.0)


def test_host_back_between_two_calls_starts_new_grace_time():
    hosts = DepartedHosts(2.0)
    hosts.note_members({"a"})
    assert not hosts.has_departed("b", now=0.0)
    hosts.note_members({"a", "b"})
    hosts.note_members({"a"})
    assert not hosts.has_departed("b", now=5.0)
